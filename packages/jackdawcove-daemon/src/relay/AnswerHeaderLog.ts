/** Logs the names of headers that answers of the local backend server begin to have. */

import type {DaemonHost} from '../DaemonHost.js';

import {LINE_END} from 'jackdawcove-relay';
import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

/** Names that are remembered; a backend server that makes up names logs no more. */
const MAXIMUM_NAMES = 64;

/**
 * Samples one answer per second, which costs next to nothing, and logs each name once.
 * A header that the daemon does not know yet thus shows up as soon as it is in use.
 */
export class AnswerHeaderLog {
  readonly #host: Pick<DaemonHost, 'clock' | 'log'>;
  readonly #names = new Set<string>();
  #nextSampleAt = 0;

  constructor(host: Pick<DaemonHost, 'clock' | 'log'>) {
    this.#host = host;
  }

  /**
   * Handles the forwarded header lines of an answer.
   *
   * @example
   * headerLog.observe('x-limit: 5\r\n', 'i-1'); // logs "new answer header"
   */
  observe(headerLines: string, instance: string): void {
    const now = this.#host.clock();
    if (now < this.#nextSampleAt) {
      return;
    }
    this.#nextSampleAt = now + MILLISECONDS_PER_SECOND;
    for (const line of headerLines.split(LINE_END)) {
      const name = line.slice(0, line.indexOf(':')).toLowerCase();
      if (
        name === '' ||
        this.#names.has(name) ||
        this.#names.size >= MAXIMUM_NAMES
      ) {
        continue;
      }
      this.#names.add(name);
      this.#host.log.info({header: name, instance}, 'new answer header');
    }
  }
}
