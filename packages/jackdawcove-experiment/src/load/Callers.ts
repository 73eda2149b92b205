/** Open-loop callers that resend at once when a request fails. */

import type {LoadClass, LoadSettings, RequestOutcome} from './LoadTypes.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {setTimeout as delay} from 'node:timers/promises';

import {createSeededRandom, formatAddress} from 'jackdawcove-shared';
import {Pool} from 'undici';
import {v7 as createUuid} from 'uuid';

import {isComplete} from './LoadTypes.js';

const MILLISECONDS_PER_SECOND = 1_000;
const PACE_MILLISECONDS = 2;
const RESULT_HEADER = 'jackdaw-result';
const EXECUTED_HEADER = 'jackdaw-executed';
const KEY_HEADER = 'idempotency-key';
const MARKER_HEADER = 'stand-in-marker';

type AttemptOutcome = Pick<
  RequestOutcome,
  'executed' | 'resultNumber' | 'status'
>;

/** Sends requests at the rate of the steps, whatever becomes of earlier ones. */
export class Callers {
  readonly #outcomes: RequestOutcome[] = [];
  readonly #pools: readonly Pool[];
  readonly #randomNumber: RandomNumber;
  readonly #settings: LoadSettings;
  #dropped = 0;
  #nextPool = 0;
  #open = 0;
  #sequence = 0;

  constructor(settings: LoadSettings) {
    this.#settings = settings;
    this.#randomNumber = createSeededRandom(settings.seed);
    this.#pools = settings.addresses.map(
      (address) =>
        new Pool(`http://${formatAddress(address)}`, {
          connections: settings.connectionsPerAddress,
          pipelining: 1,
        }),
    );
  }

  /** Number of requests that were not sent since too many were open. */
  getDropped(): number {
    return this.#dropped;
  }

  /** Outcomes so far, in order of their ends. */
  getOutcomes(): readonly RequestOutcome[] {
    return this.#outcomes;
  }

  /** Sends the whole load, then waits for the open requests. */
  async run(): Promise<readonly RequestOutcome[]> {
    const startedAt = performance.now();
    let due = 0;
    let lastMilliseconds = 0;
    for (;;) {
      const elapsed = performance.now() - startedAt;
      if (elapsed >= this.#settings.durationMilliseconds) {
        break;
      }
      const rate = this.#getRate(lastMilliseconds);
      due += (rate * (elapsed - lastMilliseconds)) / MILLISECONDS_PER_SECOND;
      lastMilliseconds = elapsed;
      for (; due >= 1; due -= 1) {
        this.#start(startedAt);
      }
      await delay(PACE_MILLISECONDS);
    }
    await this.#waitForOpen();
    await Promise.all(this.#pools.map(async (pool) => pool.destroy()));
    return this.#outcomes;
  }

  async #waitForOpen(): Promise<void> {
    const {resends, timeoutMilliseconds} = this.#settings;
    const deadline =
      performance.now() + (resends + 1) * timeoutMilliseconds * 2;
    while (this.#open > 0 && performance.now() < deadline) {
      await delay(PACE_MILLISECONDS);
    }
  }

  #getRate(elapsedMilliseconds: number): number {
    const step = this.#settings.steps.findLast(
      ({atMilliseconds}) => atMilliseconds <= elapsedMilliseconds,
    );
    return step?.ratePerSecond ?? 0;
  }

  #start(startedAt: number): void {
    if (this.#open >= this.#settings.maximumOpenRequests) {
      this.#dropped += 1;
      return;
    }
    this.#open += 1;
    void this.#send(this.#chooseClass(), startedAt).finally(() => {
      this.#open -= 1;
    });
  }

  async #send(loadClass: LoadClass, startedAt: number): Promise<void> {
    const sentAt = performance.now();
    this.#sequence += 1;
    const headers = this.#createHeaders(loadClass, this.#sequence);
    let attempts = 0;
    let outcome: AttemptOutcome;
    do {
      attempts += 1;
      outcome = await this.#attempt(loadClass, headers);
    } while (
      !isComplete(outcome as RequestOutcome) &&
      attempts <= this.#settings.resends
    );
    this.#outcomes.push({
      ...outcome,
      attempts,
      className: loadClass.name,
      importance: loadClass.importance,
      latencyMilliseconds: performance.now() - sentAt,
      startedAtMilliseconds: sentAt - startedAt,
    });
  }

  #createHeaders(
    loadClass: LoadClass,
    sequence: number,
  ): Record<string, string> {
    const headers: Record<string, string> = {
      [MARKER_HEADER]: String(sequence),
    };
    if (loadClass.method === 'POST' || loadClass.method === 'PATCH') {
      headers[KEY_HEADER] = createUuid();
    }
    return headers;
  }

  async #attempt(
    loadClass: LoadClass,
    headers: Record<string, string>,
  ): Promise<AttemptOutcome> {
    try {
      const answer = await this.#choosePool().request({
        body: loadClass.bodyBytes > 0 ? 'x'.repeat(loadClass.bodyBytes) : null,
        headers,
        method: loadClass.method,
        path: `/${loadClass.service}${loadClass.path}`,
        signal: AbortSignal.timeout(this.#settings.timeoutMilliseconds),
      });
      await answer.body.dump();
      const result = Number(answer.headers[RESULT_HEADER]);
      const executed = answer.headers[EXECUTED_HEADER];
      return {
        executed: typeof executed === 'string' ? executed : undefined,
        resultNumber: Number.isNaN(result) ? undefined : result,
        status: answer.statusCode,
      };
    } catch {
      return {executed: undefined, resultNumber: undefined, status: undefined};
    }
  }

  #choosePool(): Pool {
    const pool = this.#pools[this.#nextPool % this.#pools.length];
    this.#nextPool += 1;
    return pool as Pool;
  }

  #chooseClass(): LoadClass {
    const {classes} = this.#settings;
    const total = classes.reduce((sum, {share}) => sum + share, 0);
    let remaining = this.#randomNumber() * total;
    const chosen = classes.find(({share}) => {
      remaining -= share;
      return remaining < 0;
    });
    return chosen ?? (classes[0] as LoadClass);
  }
}
