/** Open-loop callers that resend a failed request immediately. */

import type {LoadClass, LoadSettings, RequestOutcome} from './LoadTypes.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {setTimeout as delay} from 'node:timers/promises';

import {createSeededRandom, formatAddress} from 'jackdawcove-shared';
import {Pool} from 'undici';
import {v7 as createUuid} from 'uuid';

import {isComplete} from './LoadTypes.js';

const MILLISECONDS_PER_SECOND = 1_000;
const TICK_MILLISECONDS = 2;
const RESULT_HEADER = 'jackdaw-result';
const EXECUTED_HEADER = 'jackdaw-executed';
const KEY_HEADER = 'idempotency-key';
const MARKER_HEADER = 'stand-in-marker';

type AttemptOutcome = Pick<
  RequestOutcome,
  'executed' | 'resultNumber' | 'status'
>;

/** Sends requests at the rates of the steps, independent of the outcomes of earlier ones. */
export class Callers {
  readonly #outcomes: RequestOutcome[] = [];
  readonly #pools: readonly Pool[];
  readonly #randomNumber: RandomNumber;
  readonly #settings: LoadSettings;
  #droppedCount = 0;
  #nextPoolIndex = 0;
  #openCount = 0;
  #lastSequence = 0;

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

  /** Number of requests that were not sent because too many were open. */
  getDroppedCount(): number {
    return this.#droppedCount;
  }

  /** Outcomes so far, in the order in which the requests ended. */
  getOutcomes(): readonly RequestOutcome[] {
    return this.#outcomes;
  }

  /** Sends the whole load, waits for the open requests, then closes the connections. */
  async run(): Promise<readonly RequestOutcome[]> {
    const startedAt = performance.now();
    let dueCount = 0;
    let lastMilliseconds = 0;
    for (;;) {
      const elapsed = performance.now() - startedAt;
      if (elapsed >= this.#settings.durationMilliseconds) {
        break;
      }
      const rate = this.#getRate(lastMilliseconds);
      dueCount +=
        (rate * (elapsed - lastMilliseconds)) / MILLISECONDS_PER_SECOND;
      lastMilliseconds = elapsed;
      for (; dueCount >= 1; dueCount -= 1) {
        this.#startRequest(startedAt);
      }
      await delay(TICK_MILLISECONDS);
    }
    await this.#waitForOpenRequests();
    await Promise.all(this.#pools.map(async (pool) => pool.destroy()));
    return this.#outcomes;
  }

  async #waitForOpenRequests(): Promise<void> {
    const {resends, timeoutMilliseconds} = this.#settings;
    const deadline =
      performance.now() + (resends + 1) * timeoutMilliseconds * 2;
    while (this.#openCount > 0 && performance.now() < deadline) {
      await delay(TICK_MILLISECONDS);
    }
  }

  #getRate(elapsedMilliseconds: number): number {
    const step = this.#settings.steps.findLast(
      ({atMilliseconds}) => atMilliseconds <= elapsedMilliseconds,
    );
    return step?.ratePerSecond ?? 0;
  }

  #startRequest(startedAt: number): void {
    if (this.#openCount >= this.#settings.maximumOpenRequests) {
      this.#droppedCount += 1;
      return;
    }
    this.#openCount += 1;
    void this.#sendRequest(this.#chooseClass(), startedAt).finally(() => {
      this.#openCount -= 1;
    });
  }

  async #sendRequest(loadClass: LoadClass, startedAt: number): Promise<void> {
    const sentAt = performance.now();
    this.#lastSequence += 1;
    const headers = this.#createHeaders(loadClass, this.#lastSequence);
    let attempts = 0;
    let outcome: AttemptOutcome;
    do {
      attempts += 1;
      outcome = await this.#sendAttempt(loadClass, headers);
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

  async #sendAttempt(
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
    const pool = this.#pools[this.#nextPoolIndex % this.#pools.length];
    this.#nextPoolIndex += 1;
    return pool as Pool;
  }

  #chooseClass(): LoadClass {
    const {classes} = this.#settings;
    const totalShare = classes.reduce((sum, {share}) => sum + share, 0);
    let remainingShare = this.#randomNumber() * totalShare;
    const chosen = classes.find(({share}) => {
      remainingShare -= share;
      return remainingShare < 0;
    });
    return chosen ?? (classes[0] as LoadClass);
  }
}
