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
 * let number = getNumberBase(host.incarnation);
 * number += 1;
 */
export function getNumberBase(incarnation: Incarnation): number {
  return (incarnation % INCARNATION_RANGE) * NUMBERS_PER_MILLISECOND;
}
