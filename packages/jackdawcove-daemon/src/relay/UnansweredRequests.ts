/** Requests that were read, and whose connection ended before their answers were written. */

import type {DaemonHost} from '../DaemonHost.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {RateLimitedLog} from '../host/RateLimitedLog.js';

/** Why the answers could not be written. */
export type UnansweredCause =
  /** The requests were pipelined behind the last answer of the connection. */
  | 'behindLastAnswer'
  | 'callerClosed'
  /** The daemon had closed the idle connection before; the request is not passed on. */
  | 'closedWhileIdle'
  | 'connectionReset'
  | 'shutdown'
  /** The caller did not read its answers, and the daemon needs the memory. */
  | 'unread';

/** The open requests of a connection that ended. */
export type UnansweredRequests = {
  /** Time since the oldest of them was read. */
  readonly ageMilliseconds: Milliseconds;
  readonly cause: UnansweredCause;
  /** Requests that had no answer yet. */
  readonly openCount: number;
  /** Requests whose answers waited behind others, or were partly written. */
  readonly readyCount: number;
};

/** Counts and logs requests without an answer, by cause. */
export class UnansweredLog {
  readonly #host: Pick<DaemonHost, 'metrics'>;
  readonly #log: RateLimitedLog;

  constructor(host: Pick<DaemonHost, 'clock' | 'log' | 'metrics'>) {
    this.#host = host;
    this.#log = new RateLimitedLog(host.log, host.clock);
  }

  /**
   * Records the open requests of a connection that ended.
   *
   * @example
   * log.record({ageMilliseconds: 40, cause: 'callerClosed', openCount: 1, readyCount: 0});
   */
  record(requests: UnansweredRequests): void {
    const {ageMilliseconds, cause, openCount, readyCount} = requests;
    const requestCount = openCount + readyCount;
    this.#host.metrics.increment(`relay.unanswered.${cause}`, requestCount);
    this.#log.write(
      `unanswered.${cause}`,
      {
        ageMilliseconds: Math.round(ageMilliseconds),
        cause,
        openCount,
        readyCount,
      },
      'connection ended with unanswered requests',
    );
  }
}
