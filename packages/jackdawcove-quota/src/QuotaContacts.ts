/** Daemons and other aggregators that an aggregator hears from. */

import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {
  CONTACT_TIMEOUT_MILLISECONDS,
  PEER_TIMEOUT_MILLISECONDS,
} from './QuotaConstants.js';
import {QuotaSource} from './QuotaSource.js';

type Sources = Map<DaemonName, QuotaSource>;

/** What a lost source probably used since its last message. */
export type LostUse = {
  readonly organisation: string;
  readonly units: number;
};

/** Sources of counts, by the name of their daemon. */
export class QuotaContacts {
  readonly #daemons: Sources = new Map();
  readonly #peers: Sources = new Map();

  clear(): void {
    this.#daemons.clear();
    this.#peers.clear();
  }

  /** Returns the source of a daemon's counts; a new process begins a new one. */
  openDaemon(
    name: DaemonName,
    process: number,
    now: Milliseconds,
  ): QuotaSource {
    return open(
      this.#daemons,
      name,
      new QuotaSource(process, CONTACT_TIMEOUT_MILLISECONDS, now),
    );
  }

  /** Returns the source of an aggregator's sums. */
  openPeer(
    name: DaemonName,
    generation: number,
    now: Milliseconds,
  ): QuotaSource {
    return open(
      this.#peers,
      name,
      new QuotaSource(generation, PEER_TIMEOUT_MILLISECONDS, now),
    );
  }

  isPeerKnown(name: DaemonName, generation: number): boolean {
    return this.#peers.get(name)?.generation === generation;
  }

  /** Returns the number of own daemons, or of all whose counts arrive. */
  countOwnDaemons(now: Milliseconds): number {
    return countInContact(this.#daemons, now);
  }

  countDaemons(now: Milliseconds): number {
    return this.countOwnDaemons(now) + countInContact(this.#peers, now);
  }

  hasDaemons(): boolean {
    return listHeard(this.#daemons).length > 0;
  }

  listDaemons(): readonly (readonly [DaemonName, QuotaSource])[] {
    return listHeard(this.#daemons);
  }

  listPeers(): readonly DaemonName[] {
    return listHeard(this.#peers).map(([name]) => name);
  }

  /** Returns the demand that other aggregators state. */
  getPeerDemand(organisation: string, now: Milliseconds): number {
    let demand = 0;
    for (const source of this.#peers.values()) {
      if (!source.isLost()) {
        demand += source.getAskedRate(organisation, now);
      }
    }
    return demand;
  }

  /** Returns the fewest units that an older aggregator states, or undefined. */
  getStatedTokens(organisation: string): number | undefined {
    let fewest: number | undefined;
    for (const source of this.#peers.values()) {
      const tokens = source.isLost()
        ? undefined
        : source.getTokens(organisation);
      if (tokens !== undefined) {
        fewest = Math.min(fewest ?? tokens, tokens);
      }
    }
    return fewest;
  }

  /** Takes the sources out of the sums that were silent for too long. */
  loseSilent(knownDaemons: number, now: Milliseconds): readonly LostUse[] {
    const sources = [...this.#daemons.values(), ...this.#peers.values()];
    return sources
      .filter((source) => !source.isLost() && !source.isInContact(now))
      .flatMap((source) =>
        source.lose(Math.min(1, source.daemons / knownDaemons), now),
      );
  }
}

function open(
  sources: Sources,
  name: DaemonName,
  created: QuotaSource,
): QuotaSource {
  const known = sources.get(name);
  if (known?.generation === created.generation) {
    return known;
  }
  sources.set(name, created);
  return created;
}

function listHeard(
  sources: Sources,
): readonly (readonly [DaemonName, QuotaSource])[] {
  return [...sources].filter(([, source]) => !source.isLost());
}

function countInContact(sources: Sources, now: Milliseconds): number {
  let count = 0;
  for (const source of sources.values()) {
    if (source.isInContact(now)) {
      count += source.daemons;
    }
  }
  return count;
}
