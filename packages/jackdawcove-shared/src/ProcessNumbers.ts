/** Numbers that the processes of one daemon do not share. */

import type {Incarnation} from './Identity.js';

/** Numbers that a process may use for each millisecond until its successor starts. */
const NUMBERS_PER_MILLISECOND = 4_096;

/** Incarnations are times in milliseconds; numbers stay below 2^53. */
const INCARNATION_RANGE = 2 ** 40;

/**
 * Returns the number before the first one that a process uses to identify what it
 * asks of others. The process after it uses greater numbers, so that a late answer to
 * one process is not taken for an answer to another one.
 *
 * @example
 * let lastNumber = getNumberBase(host.incarnation);
 */
export function getNumberBase(incarnation: Incarnation): number {
  return (incarnation % INCARNATION_RANGE) * NUMBERS_PER_MILLISECOND;
}

/** Numbers of one kind that a process uses, one after the other. */
export class ProcessNumbers {
  readonly #base: number;
  #last: number;

  constructor(incarnation: Incarnation) {
    this.#base = getNumberBase(incarnation);
    this.#last = this.#base;
  }

  /**
   * Returns the next number.
   *
   * @example
   * const number = numbers.create();
   */
  create(): number {
    this.#last += 1;
    return this.#last;
  }

  /** Returns the number that was created last; before the first one, that before it. */
  getLast(): number {
    return this.#last;
  }

  /**
   * Whether this process has created the number.
   *
   * @example
   * if (!numbers.has(answer.sequence)) ignore(answer);
   */
  has(number: number): boolean {
    return number > this.#base && number <= this.#last;
  }
}
