/** Structured log of the daemon. */

import type Logger from 'bunyan';

import {createLogger} from 'bunyan';

/** Where log records go, and which. */
export type LogSettings = {
  readonly daemon: string;
  readonly file: string | undefined;
  readonly level: 'debug' | 'error' | 'fatal' | 'info' | 'trace' | 'warn';
};

/**
 * Creates the log: one JSON record a line, to a file or to standard output.
 *
 * @example
 * createLog({daemon: 'erie-1', file: undefined, level: 'info'}).info('started');
 */
export function createLog(settings: LogSettings): Logger {
  const stream =
    settings.file === undefined
      ? {stream: process.stdout}
      : {path: settings.file};
  return createLogger({
    level: settings.level,
    name: 'jackdawd',
    streams: [stream],
    vm: settings.daemon,
  });
}
