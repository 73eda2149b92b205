/** Open-loop caller that calls at a constant rate and records latencies. */

import type {Histogram} from 'hdr-histogram-js';
import type {Address} from 'jackdawcove-shared';

import {setTimeout as delay} from 'node:timers/promises';

import {build} from 'hdr-histogram-js';
import {formatAddress} from 'jackdawcove-shared';
import {Pool} from 'undici';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const TICK_MILLISECONDS = 1;

/** Options of a constant-rate caller. */
export type ConstantRateCallerOptions = {
  readonly address: Address;
  readonly bodyBytes: number;
  readonly connections: number;
  readonly path: string;
  readonly ratePerSecond: number;
};

/** Calls one address at a constant rate, however slow the answers are. */
export class ConstantRateCaller {
  readonly #body: Buffer;
  readonly #histogram: Histogram = build({numberOfSignificantValueDigits: 3});
  readonly #options: ConstantRateCallerOptions;
  readonly #pool: Pool;
  #failedCount = 0;
  #sentCount = 0;

  constructor(options: ConstantRateCallerOptions) {
    this.#body = Buffer.alloc(options.bodyBytes, 'x');
    this.#options = options;
    this.#pool = new Pool(`http://${formatAddress(options.address)}`, {
      connections: options.connections,
      pipelining: 1,
    });
  }

  /** Number of calls that failed or were answered with a status of 300 or above. */
  getFailedCount(): number {
    return this.#failedCount;
  }

  /** Number of calls sent. */
  getSentCount(): number {
    return this.#sentCount;
  }

  /** Returns the latency at a percentile, in milliseconds. */
  getLatency(percentile: number): number {
    const microseconds = this.#histogram.getValueAtPercentile(percentile);
    return microseconds / MICROSECONDS_PER_MILLISECOND;
  }

  /** Discards the measurements so far. */
  reset(): void {
    this.#histogram.reset();
    this.#failedCount = 0;
    this.#sentCount = 0;
  }

  /** Sends calls for the given duration, then waits for the open ones. */
  async run(durationMilliseconds: number): Promise<void> {
    const startedAt = performance.now();
    const openCalls = new Set<Promise<void>>();
    let startedCount = 0;
    for (;;) {
      const elapsed = performance.now() - startedAt;
      if (elapsed >= durationMilliseconds) {
        break;
      }
      const dueCount =
        (elapsed * this.#options.ratePerSecond) / MILLISECONDS_PER_SECOND;
      for (; startedCount < dueCount; startedCount += 1) {
        const call = this.#call();
        openCalls.add(call);
        void call.finally(() => openCalls.delete(call));
      }
      await delay(TICK_MILLISECONDS);
    }
    await Promise.all(openCalls);
  }

  /** Closes the connections. */
  async stop(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(): Promise<void> {
    const startedAt = performance.now();
    this.#sentCount += 1;
    try {
      const {body, statusCode} = await this.#pool.request({
        body: this.#body,
        method: 'PUT',
        path: this.#options.path,
      });
      await body.dump();
      if (statusCode >= 300) {
        this.#failedCount += 1;
      }
    } catch {
      this.#failedCount += 1;
    }
    const elapsed = performance.now() - startedAt;
    this.#histogram.recordValue(
      Math.max(1, Math.round(elapsed * MICROSECONDS_PER_MILLISECOND)),
    );
  }
}
