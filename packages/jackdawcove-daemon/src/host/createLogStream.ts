/** Log stream to standard output; a stalled reader does not block the daemon. */

import sonicBoom from 'sonic-boom';

/** Limit of the lines buffered for a slow reader: some ten thousand lines. */
const MAXIMUM_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Longest wait for the reader at a shutdown; unread lines are lost after it. */
const CLOSE_TIMEOUT_MILLISECONDS = 500;

const STANDARD_OUTPUT = 1;

/** Stream of log lines; a write never waits for the reader. */
export type LogStream = {
  /** Resolves once buffered lines are written, or after half a second. */
  readonly close: () => Promise<void>;
  /** Lines dropped since the start because nothing read the output in time. */
  readonly getDroppedLines: () => number;
  readonly write: (line: string) => void;
};

/**
 * Creates the stream. When the reader of `process.stdout` stalls, writes are
 * buffered without a limit or block the process, depending on the type of the
 * output. This stream buffers lines up to a limit and drops lines beyond it.
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
  // The reader has closed the output, so the error cannot be logged.
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
