/** Histogram of durations in the Prometheus text format. */

/** Upper bounds of the buckets: 1 ms to 5 s. */
const BUCKETS_MILLISECONDS = [
  1, 2, 5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000,
];

/**
 * Counts durations by bucket. Each request adds one, so adding is a search for the
 * bucket and two additions; everything else waits until the histogram is scraped.
 */
export class LatencyHistogram {
  /** Durations by bucket; the last one counts those above all bounds. */
  readonly #counts = new Array<number>(BUCKETS_MILLISECONDS.length + 1).fill(0);
  readonly #name: string;
  #sum = 0;

  constructor(name: string) {
    this.#name = name;
  }

  add(milliseconds: number): void {
    let bucket = 0;
    while (milliseconds > (BUCKETS_MILLISECONDS[bucket] ?? Infinity)) {
      bucket += 1;
    }
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + 1;
    this.#sum += milliseconds;
  }

  /**
   * Returns the lines of the histogram.
   *
   * @example
   * histogram.format('Duration.'); // '# HELP relay_duration Duration.\n…'
   */
  format(help: string): string {
    const name = this.#name;
    let lines = `# HELP ${name} ${help}\n# TYPE ${name} histogram\n`;
    let count = 0;
    for (const [index, bucketCount] of this.#counts.entries()) {
      count += bucketCount;
      const bound = String(BUCKETS_MILLISECONDS[index] ?? '+Inf');
      lines += `${name}_bucket{le="${bound}"} ${String(count)}\n`;
    }
    const sum = String(this.#sum);
    return `${lines}${name}_sum ${sum}\n${name}_count ${String(count)}\n`;
  }
}
