/** Events on virtual time, in the order of their times. */

type TimedEvent = () => void;

/** Queue of events with a resolution of one millisecond. */
export class EventQueue {
  now = 0;
  readonly #buckets = new Map<number, TimedEvent[]>();

  /** Adds an event after a delay. */
  after(delayMs: number, event: TimedEvent): void {
    const at = this.now + Math.max(1, Math.ceil(delayMs));
    const bucket = this.#buckets.get(at);
    if (bucket === undefined) {
      this.#buckets.set(at, [event]);
    } else {
      bucket.push(event);
    }
  }

  /** Runs the events of a time span, one millisecond after the other. */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += 1;
      this.#runBucket(this.now);
    }
  }

  /** Lets time pass at once: what was due in between comes late. */
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
