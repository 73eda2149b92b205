/** Event queue on virtual time. */

type TimedEvent = () => void;

/** Queue of events in the order of their times, with a resolution of 1 ms. */
export class EventQueue {
  now = 0;
  readonly #buckets = new Map<number, TimedEvent[]>();

  /** Schedules an event after a delay. */
  after(delayMs: number, event: TimedEvent): void {
    const at = this.now + Math.max(1, Math.ceil(delayMs));
    const bucket = this.#buckets.get(at);
    if (bucket === undefined) {
      this.#buckets.set(at, [event]);
    } else {
      bucket.push(event);
    }
  }

  /**
   * Advances the time in steps of 1 ms and runs the due events of each step.
   */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += 1;
      this.#runBucket(this.now);
    }
  }

  /** Advances the time in one step; the events due in between run late. */
  jump(milliseconds: number): void {
    this.now += milliseconds;
    const due = [...this.#buckets.keys()].filter((at) => at <= this.now);
    for (const at of due.sort((left, right) => left - right)) {
      this.#runBucket(at);
    }
  }

  #runBucket(at: number): void {
    const events = this.#buckets.get(at) ?? [];
    this.#buckets.delete(at);
    for (const event of events) {
      event();
    }
  }
}
