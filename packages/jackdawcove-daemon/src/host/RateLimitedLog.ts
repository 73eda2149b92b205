/** Rate-limited log lines about single requests. */

import type Logger from 'bunyan';
import type {MonotonicClock} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

/** Limit per kind: enough to explain failures, and still cheap under overload. */
const LINES_PER_SECOND = 10;

/** Fields that explain a line: the values that the logged decision used. */
export type LogFields = Readonly<Record<string, unknown>>;

type KindWindow = {
  droppedLines: number;
  lines: number;
  startedAt: number;
};

/**
 * Writes at most `LINES_PER_SECOND` lines of each kind and counts the dropped
 * ones. The count is written with the next line of the kind.
 *
 * @example
 * rateLimitedLog.write('requestRefused', {request, result}, 'request refused');
 */
export class RateLimitedLog {
  readonly #clock: MonotonicClock;
  readonly #windows = new Map<string, KindWindow>();
  readonly #log: Pick<Logger, 'info'>;

  constructor(log: Pick<Logger, 'info'>, clock: MonotonicClock) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Writes a line, or counts it as dropped. */
  write(kind: string, fields: LogFields, message: string): void {
    const currentWindow = this.#getCurrentWindow(kind);
    if (currentWindow.lines >= LINES_PER_SECOND) {
      currentWindow.droppedLines += 1;
      return;
    }
    currentWindow.lines += 1;
    const {droppedLines} = currentWindow;
    currentWindow.droppedLines = 0;
    this.#log.info(
      {
        kind,
        ...fields,
        ...(droppedLines === 0 ? {} : {linesLeftOut: droppedLines}),
      },
      message,
    );
  }

  #getCurrentWindow(kind: string): KindWindow {
    const now = this.#clock();
    const currentWindow = this.#windows.get(kind);
    if (currentWindow === undefined) {
      const firstWindow = {droppedLines: 0, lines: 0, startedAt: now};
      this.#windows.set(kind, firstWindow);
      return firstWindow;
    }
    if (now - currentWindow.startedAt >= MILLISECONDS_PER_SECOND) {
      currentWindow.lines = 0;
      currentWindow.startedAt = now;
    }
    return currentWindow;
  }
}
