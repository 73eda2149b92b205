/** Log lines about single requests, bounded in number. */

import type Logger from 'bunyan';
import type {MonotonicClock} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

/** Lines of one kind in a second: enough to explain failures, cheap under overload. */
const LINES_PER_SECOND = 10;

/** What explains a line; taken from the decision itself. */
export type LogFields = Readonly<Record<string, unknown>>;

type KindState = {
  leftOut: number;
  lines: number;
  since: number;
};

/**
 * Writes at most a few lines of each kind in a second and counts the rest. The
 * count is written with the next line of the kind.
 *
 * @example
 * boundedLog.write('requestRefused', {request, result}, 'request refused');
 */
export class BoundedLog {
  readonly #clock: MonotonicClock;
  readonly #kinds = new Map<string, KindState>();
  readonly #log: Pick<Logger, 'info'>;

  constructor(log: Pick<Logger, 'info'>, clock: MonotonicClock) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Writes a line, or counts it as left out. */
  write(kind: string, fields: LogFields, message: string): void {
    const state = this.#advance(kind);
    if (state.lines >= LINES_PER_SECOND) {
      state.leftOut += 1;
      return;
    }
    state.lines += 1;
    const {leftOut} = state;
    state.leftOut = 0;
    this.#log.info(
      {kind, ...fields, ...(leftOut === 0 ? {} : {linesLeftOut: leftOut})},
      message,
    );
  }

  #advance(kind: string): KindState {
    const now = this.#clock();
    const known = this.#kinds.get(kind);
    if (known === undefined) {
      const state = {leftOut: 0, lines: 0, since: now};
      this.#kinds.set(kind, state);
      return state;
    }
    if (now - known.since >= MILLISECONDS_PER_SECOND) {
      known.lines = 0;
      known.since = now;
    }
    return known;
  }
}
