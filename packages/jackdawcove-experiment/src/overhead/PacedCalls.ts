/** Calls at a steady rate, open loop, with their latencies. */

import type {Histogram} from 'hdr-histogram-js';
import type {Address} from 'jackdawcove-shared';

import {setTimeout as delay} from 'node:timers/promises';

import {build} from 'hdr-histogram-js';
import {formatAddress} from 'jackdawcove-shared';
import {Pool} from 'undici';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const PACE_MILLISECONDS = 1;

/** What is called, and how. */
export type PacedCallsOptions = {
  readonly address: Address;
  readonly bodyBytes: number;
  readonly connections: number;
  readonly path: string;
  readonly ratePerSecond: number;
};

/** Calls one address at a steady rate. */
export class PacedCalls {
  readonly #body: Buffer;
  readonly #histogram: Histogram = build({numberOfSignificantValueDigits: 3});
  readonly #options: PacedCallsOptions;
  readonly #pool: Pool;
  #failed = 0;
  #sent = 0;

  constructor(options: PacedCallsOptions) {
    this.#body = Buffer.alloc(options.bodyBytes, 'x');
    this.#options = options;
    this.#pool = new Pool(`http://${formatAddress(options.address)}`, {
      connections: options.connections,
      pipelining: 1,
    });
  }

  /** Number of calls that did not end well. */
  getFailed(): number {
    return this.#failed;
  }

  /** Number of calls sent. */
  getSent(): number {
    return this.#sent;
  }

  /** Latency at a percentile, in milliseconds. */
  getLatency(percentile: number): number {
    const microseconds = this.#histogram.getValueAtPercentile(percentile);
    return microseconds / MICROSECONDS_PER_MILLISECOND;
  }

  /** Forgets what was measured so far. */
  reset(): void {
    this.#histogram.reset();
    this.#failed = 0;
    this.#sent = 0;
  }

  /** Calls for a time and waits for the answers. */
  async run(durationMilliseconds: number): Promise<void> {
    const startedAt = performance.now();
    const open = new Set<Promise<void>>();
    let sent = 0;
    for (;;) {
      const elapsed = performance.now() - startedAt;
      if (elapsed >= durationMilliseconds) {
        break;
      }
      const due =
        (elapsed * this.#options.ratePerSecond) / MILLISECONDS_PER_SECOND;
      for (; sent < due; sent += 1) {
        const call = this.#call();
        open.add(call);
        void call.finally(() => open.delete(call));
      }
      await delay(PACE_MILLISECONDS);
    }
    await Promise.all(open);
  }

  /** Closes the connections. */
  async stop(): Promise<void> {
    await this.#pool.destroy();
  }

  async #call(): Promise<void> {
    const startedAt = performance.now();
    this.#sent += 1;
    try {
      const {body, statusCode} = await this.#pool.request({
        body: this.#body,
        method: 'PUT',
        path: this.#options.path,
      });
      await body.dump();
      if (statusCode >= 300) {
        this.#failed += 1;
      }
    } catch {
      this.#failed += 1;
    }
    const elapsed = performance.now() - startedAt;
    this.#histogram.recordValue(
      Math.max(1, Math.round(elapsed * MICROSECONDS_PER_MILLISECOND)),
    );
  }
}
