/** Slots of a stand-in backend server, with a first-in, first-out queue. */

/** Semaphore that admits a fixed number of concurrent tasks; further tasks wait in order. */
export class SlotQueue {
  readonly #slots: number;
  readonly #waiting: (() => void)[] = [];
  #busyCount = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  /** Number of tasks that hold a slot. */
  getBusyCount(): number {
    return this.#busyCount;
  }

  /** Number of tasks that wait for a slot. */
  getWaitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Acquires a slot, waiting while all slots are taken.
   *
   * @example
   * await queue.acquire();
   * try { await work(); } finally { queue.release(); }
   */
  async acquire(): Promise<void> {
    if (this.#busyCount < this.#slots) {
      this.#busyCount += 1;
      return;
    }
    await new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  /** Releases a slot; the task that has waited longest gets it. */
  release(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#busyCount -= 1;
      return;
    }
    next();
  }
}
