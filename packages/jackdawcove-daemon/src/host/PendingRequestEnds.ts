/** Counts of ended requests by route, service and result. */

import type {RequestEnd} from '../DaemonHost.js';
import type {Counter} from 'prom-client';

/** Different label sets: enough for some hundred routes with a few results each. */
const MAXIMUM_SERIES = 2_000;

/**
 * Route and service of requests beyond `MAXIMUM_SERIES`. It is not a valid
 * identifier, so no configured route or service has this name.
 */
const OVERFLOW_LABEL = '(other)';

/** Counts in memory; `flush` adds the counts to the counter of the library. */
export class PendingRequestEnds {
  #counter: Counter<keyof RequestEnd> | undefined;
  readonly #createCounter: () => Counter<keyof RequestEnd>;
  readonly #knownKeys = new Set<string>();
  readonly #pending = new Map<string, {count: number; end: RequestEnd}>();

  constructor(createCounter: () => Counter<keyof RequestEnd>) {
    this.#createCounter = createCounter;
  }

  add(end: RequestEnd): void {
    if (this.#hasRoomFor(getKey(end))) {
      this.#count(end);
    } else {
      this.#count({...end, route: OVERFLOW_LABEL, service: OVERFLOW_LABEL});
    }
  }

  flush(): void {
    for (const {count, end} of this.#pending.values()) {
      this.#counter ??= this.#createCounter();
      this.#counter.inc({...end}, count);
    }
    this.#pending.clear();
  }

  #count(end: RequestEnd): void {
    const key = getKey(end);
    const pending = this.#pending.get(key);
    if (pending === undefined) {
      this.#knownKeys.add(key);
      this.#pending.set(key, {count: 1, end});
    } else {
      pending.count += 1;
    }
  }

  /** Labels are kept after their route is removed from the configuration. */
  #hasRoomFor(key: string): boolean {
    return this.#knownKeys.has(key) || this.#knownKeys.size < MAXIMUM_SERIES;
  }
}

function getKey({result, route, service}: RequestEnd): string {
  return `${route} ${service} ${result}`;
}
