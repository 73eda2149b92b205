/** Injected random number functions, and a seeded generator for tests. */

import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Returns a random number in [0, 1). */
export type RandomNumber = () => number;

const RANDOM_RANGE = 0x1_0000_0000;

/**
 * Creates a seeded random number generator.
 *
 * @example
 * const randomNumber = createSeededRandom(7);
 * randomNumber(); // the same first number for every run with seed 7
 */
export function createSeededRandom(seed: number): RandomNumber {
  const generator = xoroshiro128plus(seed);
  return () =>
    unsafeUniformIntDistribution(0, RANDOM_RANGE - 1, generator) / RANDOM_RANGE;
}

/**
 * Picks a random item of a list, or returns undefined when the list is empty.
 *
 * @example
 * pickRandom(['a', 'b'], () => 0.6); // 'b'
 */
export function pickRandom<Item>(
  items: readonly Item[],
  randomNumber: RandomNumber,
): Item | undefined {
  return items[Math.floor(randomNumber() * items.length)];
}

/**
 * Returns a shuffled copy of a list.
 *
 * @example
 * shuffle([1, 2, 3], createSeededRandom(1));
 */
export function shuffle<Item>(
  items: readonly Item[],
  randomNumber: RandomNumber,
): Item[] {
  const keyed = items.map((item) => ({item, order: randomNumber()}));
  keyed.sort((left, right) => left.order - right.order);
  return keyed.map(({item}) => item);
}
