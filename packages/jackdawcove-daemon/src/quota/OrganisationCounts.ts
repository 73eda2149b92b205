/** Metrics of the largest organisations. */

import type {Metrics} from '../DaemonHost.js';

/** Organisations with metrics of their own; the others are summed. */
const NAMED_ORGANISATIONS = 10;
const OTHERS = 'others';
const UNSAFE_CHARACTERS = /[^A-Za-z0-9_-]/g;

type Counts = {admitted: number; refused: number};

/** Counts requests by organisation and publishes them with bounded cardinality. */
export class OrganisationCounts {
  readonly #counts = new Map<string, Counts>();
  readonly #metrics: Metrics;
  readonly #named = new Set<string>();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  record(organisation: string, isAdmitted: boolean): void {
    let counts = this.#counts.get(organisation);
    if (counts === undefined) {
      counts = {admitted: 0, refused: 0};
      this.#counts.set(organisation, counts);
    }
    if (isAdmitted) {
      counts.admitted += 1;
    } else {
      counts.refused += 1;
    }
  }

  /**
   * Publishes the counts since the last call. The first organisations that are among
   * the largest keep their names, so that their number stays bounded.
   */
  publish(): void {
    const sorted = [...this.#counts].sort(
      ([, first], [, second]) => getTotal(second) - getTotal(first),
    );
    this.#counts.clear();
    for (const [organisation, {admitted, refused}] of sorted) {
      if (this.#named.size < NAMED_ORGANISATIONS) {
        this.#named.add(organisation);
      }
      const name = this.#named.has(organisation)
        ? organisation.replace(UNSAFE_CHARACTERS, '_')
        : OTHERS;
      this.#metrics.increment(`organisation.${name}.admitted`, admitted);
      this.#metrics.increment(`organisation.${name}.refused`, refused);
    }
  }
}

function getTotal({admitted, refused}: Counts): number {
  return admitted + refused;
}
