/** Clock, timers and seeded randomness of a play in memory. */

import type {Milliseconds, RandomNumber} from 'jackdawcove-shared';

export class PlayClock {
  now: Milliseconds = 0;
  readonly random: RandomNumber;
  readonly #timers = new Map<Milliseconds, (() => void)[]>();

  constructor(random: RandomNumber) {
    this.random = random;
  }

  /** Runs an action later; delays are rounded to milliseconds. */
  after(delay: Milliseconds, action: () => void): void {
    const at = this.now + Math.max(1, Math.round(delay));
    const actions = this.#timers.get(at);
    if (actions === undefined) {
      this.#timers.set(at, [action]);
    } else {
      actions.push(action);
    }
  }

  /** Runs the actions that are due, and advances by a millisecond. */
  advance(): void {
    const due = this.#timers.get(this.now) ?? [];
    this.#timers.delete(this.now);
    for (const action of due) {
      action();
    }
    this.now += 1;
  }

  /** Draws a run time: half of the mean, and an exponential part. */
  drawRunTime(mean: Milliseconds): Milliseconds {
    return mean * (0.5 - 0.5 * Math.log(1 - this.random()));
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.random() * items.length)];
    if (item === undefined) {
      throw new Error('There is nothing to pick from.');
    }
    return item;
  }

  drawPoisson(mean: number): number {
    const limit = Math.exp(-mean);
    let count = 0;
    let product = this.random();
    while (product > limit) {
      count += 1;
      product *= this.random();
    }
    return count;
  }
}
