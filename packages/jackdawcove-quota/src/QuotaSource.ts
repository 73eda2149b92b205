/** What an aggregator knows of one source of counts: a daemon, or another aggregator. */

import type {LostUse} from './QuotaContacts.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {SourceDemandEstimate} from './DemandEstimate.js';

/** Largest difference in speed of two clocks, more than any real ones have. */
const MAXIMUM_CLOCK_DRIFT = 0.001;

type SourceEntry = {
  admitted: number;
  readonly asked: SourceDemandEstimate;
  readonly spent: SourceDemandEstimate;
  /** Units that the source states are left for the fleet. */
  tokens: number | undefined;
};

/** Counts of one source; they grow as long as its generation is the same. */
export class QuotaSource {
  /** Number of daemons whose requests the source counts. */
  daemons = 1;
  readonly generation: number;
  /** Greatest lead of the source's age over the receiver's, before the present interval. */
  #greatestLead: Milliseconds | undefined;
  #greatestRecentLead: Milliseconds = 0;
  /** Start of the present interval. */
  #recentSince: Milliseconds = 0;
  #entries = new Map<string, SourceEntry>();
  #heardAt: Milliseconds;
  /** Part of the fleet that the source stood for when its contact was lost. */
  #lostFraction: number | undefined;
  #silence: Milliseconds = 0;
  readonly #timeoutMilliseconds: Milliseconds;

  constructor(generation: number, timeout: Milliseconds, now: Milliseconds) {
    this.generation = generation;
    this.#timeoutMilliseconds = timeout;
    this.#heardAt = now;
  }

  isInContact(now: Milliseconds): boolean {
    return now - this.#heardAt <= this.#timeoutMilliseconds;
  }

  /** Whether the source was taken out of the sums. */
  isLost(): boolean {
    return this.#lostFraction !== undefined;
  }

  /**
   * Records by how much older than the receiver the source says to be. Returns whether it
   * aged faster: the receiver was paused, because the steady clock stands still in a pause.
   * A message that is late states a smaller lead. After a pause messages may come at once,
   * each with a greater lead, so leads count from the next interval on.
   *
   * @example
   * source.recordAgeLead(sums.ageMilliseconds - ownAge, now); // false
   */
  recordAgeLead(lead: Milliseconds, now: Milliseconds): boolean {
    if (this.#greatestLead === undefined) {
      this.#greatestLead = lead;
      this.#startInterval(lead, now);
      return false;
    }
    const elapsed = now - this.#recentSince;
    if (elapsed >= this.#timeoutMilliseconds) {
      this.#greatestLead = Math.max(
        this.#greatestLead - elapsed * MAXIMUM_CLOCK_DRIFT,
        this.#greatestRecentLead,
      );
      this.#startInterval(lead, now);
    } else {
      this.#greatestRecentLead = Math.max(this.#greatestRecentLead, lead);
    }
    return lead - this.#greatestLead > this.#timeoutMilliseconds;
  }

  /** Records a message. */
  recordHeard(now: Milliseconds): void {
    this.#silence = this.isLost() ? now - this.#heardAt : 0;
    this.#heardAt = now;
  }

  /** Takes the source out of the sums; returns what it probably used since. */
  lose(fraction: number, now: Milliseconds): readonly LostUse[] {
    this.#lostFraction = fraction;
    const seconds = (now - this.#heardAt) / MILLISECONDS_PER_SECOND;
    return [...this.#entries].map(([organisation, {spent}]) => ({
      organisation,
      units: spent.getLast() * seconds,
    }));
  }

  /** Puts the source into the sums again, after its message was applied. */
  restore(): void {
    this.#lostFraction = undefined;
    this.#silence = 0;
  }

  /**
   * Records a count and returns what was spent since the last one. While the
   * source was lost, its part of the quota was set aside for it.
   *
   * @example
   * bucket.spend(source.recordAdmitted('north-grocers', 40, 38, 100, clock()));
   */
  recordAdmitted(
    organisation: string,
    admitted: number,
    baseline: number,
    unitsPerSecond: number,
    now: Milliseconds,
  ): number {
    const entry = this.#getEntry(organisation, baseline, now);
    const spent = admitted - entry.admitted;
    if (spent < 0) {
      return 0;
    }
    entry.admitted = admitted;
    entry.spent.record(spent, now);
    const setAside =
      (unitsPerSecond * (this.#lostFraction ?? 0) * this.#silence) /
      MILLISECONDS_PER_SECOND;
    return Math.max(0, spent - setAside);
  }

  /** Records requests that were asked for. */
  recordAsked(organisation: string, asked: number, now: Milliseconds): void {
    this.#entries.get(organisation)?.asked.record(asked, now);
  }

  /** Replaces the estimate of the demand by a stated one. */
  setAskedRate(organisation: string, rate: number, now: Milliseconds): void {
    this.#entries.get(organisation)?.asked.set(rate, now);
  }

  setTokens(organisation: string, tokens: number): void {
    const entry = this.#entries.get(organisation);
    if (entry !== undefined) {
      entry.tokens = tokens;
    }
  }

  getTokens(organisation: string): number | undefined {
    return this.#entries.get(organisation)?.tokens;
  }

  getAskedRate(organisation: string, now: Milliseconds): number {
    return this.#entries.get(organisation)?.asked.get(now) ?? 0;
  }

  #startInterval(lead: Milliseconds, now: Milliseconds): void {
    this.#greatestRecentLead = lead;
    this.#recentSince = now;
  }

  #getEntry(
    organisation: string,
    baseline: number,
    now: Milliseconds,
  ): SourceEntry {
    let entry = this.#entries.get(organisation);
    if (entry === undefined) {
      entry = {
        admitted: baseline,
        asked: new SourceDemandEstimate(now),
        spent: new SourceDemandEstimate(now),
        tokens: undefined,
      };
      this.#entries.set(organisation, entry);
    }
    return entry;
  }
}
