/** Slots of a stand-in backend server with a first-in, first-out queue. */

/** Runs at most a fixed number of tasks at once; further tasks wait in order. */
export class SlotQueue {
  readonly #slots: number;
  readonly #waiting: (() => void)[] = [];
  #busy = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Number of tasks that hold a slot. */
  getBusy(): number {
    return this.#busy;
  }

  /** Number of tasks that wait for a slot. */
  getWaiting(): number {
    return this.#waiting.length;
  }

  /**
   * Takes a slot, waiting for one when all are taken.
   *
   * @example
   * await queue.acquire();
   * try { await work(); } finally { queue.release(); }
   */
  async acquire(): Promise<void> {
    if (this.#busy < this.#slots) {
      this.#busy += 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Returns a slot and starts the task that has waited longest. */
  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#busy -= 1;
      return;
    }
    next();
  }
}
