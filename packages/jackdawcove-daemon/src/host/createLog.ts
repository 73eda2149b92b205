/** Structured log of the daemon. */

import type Logger from 'bunyan';

import {createLogger} from 'bunyan';

import {createLogStream} from './createLogStream.js';

/** Destination and level of the log. */
export type LogSettings = {
  readonly daemon: string;
  readonly file: string | undefined;
  readonly level: 'debug' | 'error' | 'fatal' | 'info' | 'trace' | 'warn';
};

/** A log, the close of its output and the number of lines that it dropped. */
export type LogSink = {
  /** Resolves once buffered lines are written, or after half a second. */
  readonly close: () => Promise<void>;
  /** Lines dropped since the start because nothing read the output in time. */
  readonly getDroppedLines: () => number;
  readonly log: Logger;
};

/**
 * Creates the log: one JSON record per line, in a file or on standard output.
 *
 * @example
 * const {log} = createLog({daemon: 'erie-1', file: undefined, level: 'info'});
 * log.info('started');
 */
export function createLog({daemon, file, level}: LogSettings): LogSink {
  const options = {level, name: 'jackdawd', vm: daemon};
  if (file !== undefined) {
    return {
      close: async () => undefined,
      getDroppedLines: () => 0,
      log: createLogger({...options, streams: [{path: file}]}),
    };
  }
  const {close, getDroppedLines, write} = createLogStream();
  const stream = {write} as NodeJS.WritableStream;
  return {
    close,
    getDroppedLines,
    log: createLogger({...options, streams: [{stream}]}),
  };
}
