/** Structured log of the daemon. */

import type Logger from 'bunyan';

import {createLogger} from 'bunyan';

import {createLogStream} from './createLogStream.js';

/** Where log records go, and which. */
export type LogSettings = {
  readonly daemon: string;
  readonly file: string | undefined;
  readonly level: 'debug' | 'error' | 'fatal' | 'info' | 'trace' | 'warn';
};

/** A log and what its owner needs to know of its output. */
export type LogSink = {
  /** Waits a short time until the lines are written. */
  readonly close: () => Promise<void>;
  /** Lines that nothing read in time, since the start. */
  readonly getDroppedLines: () => number;
  readonly log: Logger;
};

/**
 * Creates the log: one JSON record a line, to a file or to standard output.
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
