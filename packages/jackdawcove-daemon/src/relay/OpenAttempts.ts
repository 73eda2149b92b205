/** Attempts whose offers have not ended. */

import type {DaemonHost} from '../DaemonHost.js';
import type {OpenAttempt} from './RelayCall.js';
import type {AnswerPacket, FailurePacket} from 'jackdawcove-relay';
import type {DaemonName} from 'jackdawcove-shared';

import {ProcessNumbers} from 'jackdawcove-shared';

/** Who else a packet for no attempt of this process is from or for. */
type StrayCause = 'otherDaemon' | 'otherProcess';

/** Numbers attempts, and finds the attempt that a packet belongs to. */
export class OpenAttempts {
  readonly #attempts = new Map<number, OpenAttempt>();
  readonly #metrics: DaemonHost['metrics'];
  readonly #numbers: ProcessNumbers;

  constructor({
    incarnation,
    metrics,
  }: Pick<DaemonHost, 'incarnation' | 'metrics'>) {
    this.#metrics = metrics;
    this.#numbers = new ProcessNumbers(incarnation);
  }

  [Symbol.iterator](): IterableIterator<OpenAttempt> {
    return this.#attempts.values();
  }

  /** Returns a number that no attempt of another process of this daemon has. */
  createNumber(): number {
    return this.#numbers.create();
  }

  add(attempt: OpenAttempt): void {
    this.#attempts.set(attempt.number, attempt);
  }

  delete({number}: OpenAttempt): void {
    this.#attempts.delete(number);
  }

  /**
   * Returns the attempt that an answer or a failure belongs to. Only the daemon that
   * was asked can answer it, and only this process can have asked.
   *
   * @example
   * const attempt = attempts.find(packet, 'vm-2');
   */
  find(
    {attempt: number}: AnswerPacket | FailurePacket,
    source: DaemonName,
  ): OpenAttempt | undefined {
    const attempt = this.#attempts.get(number);
    if (attempt?.candidate.daemon === source) {
      return attempt;
    }
    if (attempt !== undefined) {
      this.#recordStray('otherDaemon');
    } else if (!this.#numbers.has(number)) {
      this.#recordStray('otherProcess');
    }
    return undefined;
  }

  #recordStray(cause: StrayCause): void {
    this.#metrics.increment(`relay.strayPacket.${cause}`);
  }
}
