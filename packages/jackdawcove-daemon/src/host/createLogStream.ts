/** Standard output for the log, which a reader that stops must not block. */

import sonicBoom from 'sonic-boom';

/** Lines that wait for a slow reader, in bytes: some ten thousand of them. */
const MAXIMUM_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Longest wait for the reader at a stop, in milliseconds; then the rest is lost. */
const CLOSE_TIMEOUT_MILLISECONDS = 500;

const STANDARD_OUTPUT = 1;

/** Where log lines are written; never waits for its reader. */
export type LogStream = {
  /** Waits half a second at most until the lines are written. */
  readonly close: () => Promise<void>;
  /** Lines that were left out since the start, since nothing read the output. */
  readonly getDroppedLines: () => number;
  readonly write: (line: string) => void;
};

/**
 * Creates the stream. What a reader that has stopped does not take piles up behind
 * `process.stdout` without a bound, or blocks, depending on what the output is. Here
 * lines wait in memory up to a bound, and are left out above it.
 *
 * @example
 * const stream = createLogStream();
 * createLogger({name: 'jackdawd', streams: [{stream}]});
 */
export function createLogStream(fileDescriptor = STANDARD_OUTPUT): LogStream {
  let isClosed = false;
  let droppedLines = 0;
  const output = new sonicBoom.SonicBoom({
    fd: fileDescriptor,
    maxLength: MAXIMUM_BUFFERED_BYTES,
    sync: false,
  });
  output.on('drop', () => {
    droppedLines += 1;
  });
  // The reader is gone: there is nowhere left to tell it.
  output.on('error', () => {
    droppedLines += 1;
  });
  return {
    close: async () => {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, CLOSE_TIMEOUT_MILLISECONDS);
        output.once('close', () => {
          clearTimeout(timer);
          resolve();
        });
        isClosed = true;
        output.end();
      });
    },
    getDroppedLines: () => droppedLines,
    write: (line) => {
      if (!isClosed) {
        output.write(line);
      }
    },
  };
}
