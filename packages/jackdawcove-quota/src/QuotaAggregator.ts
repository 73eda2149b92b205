/** Sums the counts of daemons and states their shares of what is left. */

import type {BucketLimits} from './QuotaBucket.js';
import type {QuotaAggregatorOptions, QuotaEffect} from './QuotaEffect.js';
import type {QuotaAnswer, QuotaReport, QuotaSums} from './QuotaMessages.js';
import type {QuotaSource} from './QuotaSource.js';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {getShare} from './getShare.js';
import {OrganisationUse} from './OrganisationUse.js';
import {scaleQuota} from './QuotaBucket.js';
import {
  SETTLING_MILLISECONDS,
  SUMS_REPETITION_MILLISECONDS,
  UNSOLICITED_SEQUENCE,
} from './QuotaConstants.js';
import {QuotaContacts} from './QuotaContacts.js';

/** Part of the slack of the rule that may be used as burst. */
const RESERVE_RATIO = 0.5;

/**
 * Answers the load of organisations that send more than they may: counts what was
 * admitted anywhere, and limits an organisation before its window is exceeded.
 * Daemons and aggregators out of contact keep their part of each quota.
 */
export class QuotaAggregator {
  readonly #contacts = new QuotaContacts();
  #effects: QuotaEffect[] = [];
  #fraction = 0;
  #generation = 0;
  #hasAdopted = false;
  readonly #options: QuotaAggregatorOptions;
  #startedAt: Milliseconds | undefined;
  #starts = 0;
  readonly #uses = new Map<string, OrganisationUse>();

  constructor(options: QuotaAggregatorOptions) {
    this.#options = options;
  }

  /** Counts what a daemon admitted, and answers with its shares. */
  handleReport(
    from: DaemonName,
    report: QuotaReport,
    now: Milliseconds,
  ): readonly QuotaEffect[] {
    if (this.#startedAt === undefined) {
      this.#start(now);
    }
    const source = this.#contacts.openDaemon(from, report.process, now);
    source.recordHeard(now);
    for (const entry of report.entries) {
      this.#countEntry(source, entry, now);
    }
    source.restore();
    this.#updateFraction(now);
    const isNewlyLimited = this.#updateUses(
      report.entries.map(({organisation}) => organisation),
      now,
    );
    if (isNewlyLimited) {
      this.#answerAll(now);
    }
    this.#sendSurges(report, now);
    this.#answer(from, source, report.sequence, now);
    return this.#takeEffects();
  }

  /** Counts what daemons of another aggregator admitted. */
  handleSums(
    from: DaemonName,
    sums: QuotaSums,
    now: Milliseconds,
  ): readonly QuotaEffect[] {
    if (this.#startedAt === undefined) {
      return [];
    }
    const isKnown = this.#contacts.isPeerKnown(from, sums.generation);
    const source = this.#contacts.openPeer(from, sums.generation, now);
    const ageLead = sums.ageMilliseconds - (now - this.#startedAt);
    if (source.recordAgeLead(ageLead, now)) {
      // What was refilled and spent during the pause is not known here.
      this.#stop();
      return this.#takeEffects();
    }
    source.recordHeard(now);
    source.daemons = sums.daemons;
    const isYounger = ageLead <= 0;
    for (const entry of sums.entries) {
      this.#countSum(source, entry, isYounger, now);
    }
    source.restore();
    this.#updateFraction(now);
    if (!isKnown) {
      this.#sendSums(from, now);
    }
    const organisations = sums.entries.map(({organisation}) => organisation);
    if (this.#updateUses(organisations, now)) {
      this.#answerAll(now);
    }
    return this.#takeEffects();
  }

  /** Sends the sums to other aggregators and drops sources out of contact. */
  tick(now: Milliseconds): readonly QuotaEffect[] {
    if (this.#startedAt === undefined) {
      return [];
    }
    this.#loseSilent(now);
    if (!this.#contacts.hasDaemons()) {
      this.#stop();
      return this.#takeEffects();
    }
    this.#updateFraction(now);
    if (this.#updateUses(this.#uses.keys(), now)) {
      this.#answerAll(now);
    }
    for (const receiver of this.#listReceivers()) {
      this.#sendSums(receiver, now);
    }
    for (const use of this.#uses.values()) {
      use.markSent();
    }
    return this.#takeEffects();
  }

  #listReceivers(): ReadonlySet<DaemonName> {
    return new Set([
      ...this.#options.getPeers(),
      ...this.#contacts.listPeers(),
    ]);
  }

  /** Tells other aggregators of a surge before the next exchange. */
  #sendSurges({entries}: QuotaReport, now: Milliseconds): void {
    const surging = new Set<string>();
    for (const {organisation} of entries) {
      const use = this.#uses.get(organisation);
      const quota = this.#options.findQuota(organisation);
      if (use !== undefined && quota !== undefined && use.isSurging(quota)) {
        surging.add(organisation);
        use.markSent();
      }
    }
    if (surging.size > 0) {
      for (const receiver of this.#listReceivers()) {
        this.#sendSums(receiver, now, surging);
      }
    }
  }

  #start(now: Milliseconds): void {
    this.#startedAt = now;
    this.#generation = this.#options.process + this.#starts;
    this.#starts += 1;
    this.#fraction = 0;
    this.#hasAdopted = false;
    this.#effects.push({kind: 'started'});
    for (const peer of this.#options.getPeers()) {
      this.#sendSums(peer, now);
    }
  }

  #stop(): void {
    this.#startedAt = undefined;
    this.#contacts.clear();
    this.#uses.clear();
    this.#effects.push({kind: 'stopped'});
  }

  #takeEffects(): readonly QuotaEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #countEntry(
    source: QuotaSource,
    entry: QuotaReport['entries'][number],
    now: Milliseconds,
  ): void {
    const {acknowledged, admitted, asked, organisation} = entry;
    const use = this.#getUse(organisation, now);
    const quota = this.#options.findQuota(organisation);
    if (use === undefined || quota === undefined || acknowledged > admitted) {
      return;
    }
    const spent = source.recordAdmitted(
      organisation,
      admitted,
      acknowledged,
      quota.requestsPerSecond,
      now,
    );
    source.recordAsked(organisation, asked, now);
    use.recordOwn(spent, asked, now);
    use.spend(spent);
  }

  #countSum(
    source: QuotaSource,
    entry: QuotaSums['entries'][number],
    isYounger: boolean,
    now: Milliseconds,
  ): void {
    const {admitted, askedPerSecond, organisation, tokens} = entry;
    const use = this.#getUse(organisation, now);
    const quota = this.#options.findQuota(organisation);
    if (use === undefined || quota === undefined) {
      return;
    }
    const spent = source.recordAdmitted(
      organisation,
      admitted,
      // An older aggregator counted from before this one began.
      isYounger ? 0 : admitted,
      quota.requestsPerSecond,
      now,
    );
    source.setAskedRate(organisation, askedPerSecond, now);
    if (!isYounger) {
      source.setTokens(organisation, tokens);
    }
    use.spend(spent);
  }

  /** Creates the state of an organisation; its bucket fills from the start on. */
  #getUse(
    organisation: string,
    now: Milliseconds,
  ): OrganisationUse | undefined {
    const limits = this.#getLimits(organisation);
    if (limits === undefined) {
      return undefined;
    }
    let use = this.#uses.get(organisation);
    if (use === undefined) {
      const age = now - (this.#startedAt ?? now);
      const refilled = (limits.unitsPerSecond * age) / MILLISECONDS_PER_SECOND;
      use = new OrganisationUse(
        Math.min(limits.capacity, refilled),
        this.#options.rule,
        now,
      );
      this.#uses.set(organisation, use);
    }
    return use;
  }

  #getLimits(organisation: string): BucketLimits | undefined {
    const {findQuota, rule} = this.#options;
    const quota = findQuota(organisation);
    return (
      quota && scaleQuota(quota, this.#fraction, rule.slack * RESERVE_RATIO)
    );
  }

  /** Part of the fleet whose counts arrive; the rest keeps its part. */
  #updateFraction(now: Milliseconds): void {
    const daemons = this.#contacts.countDaemons(now);
    const known = Math.max(daemons, this.#options.getKnownDaemons());
    const fraction = daemons / known;
    if (fraction < this.#fraction) {
      for (const use of this.#uses.values()) {
        use.scale(fraction / this.#fraction);
      }
    }
    this.#fraction = fraction;
  }

  #loseSilent(now: Milliseconds): void {
    const known = Math.max(1, this.#options.getKnownDaemons());
    for (const {organisation, units} of this.#contacts.loseSilent(known, now)) {
      this.#uses.get(organisation)?.spend(units);
    }
  }

  /** Takes over the buckets of aggregators that counted for longer. */
  #adoptTokens(): void {
    for (const [organisation, use] of this.#uses) {
      const tokens = this.#contacts.getStatedTokens(organisation);
      if (tokens !== undefined) {
        use.setTokens(tokens * this.#fraction);
      }
    }
  }

  /** Returns whether an organisation became limited. */
  #updateUses(organisations: Iterable<string>, now: Milliseconds): boolean {
    if (!this.#isSettled(now)) {
      return false;
    }
    if (!this.#hasAdopted) {
      this.#hasAdopted = true;
      this.#adoptTokens();
    }
    let isNewlyLimited = false;
    for (const organisation of organisations) {
      const limits = this.#getLimits(organisation);
      const use = this.#uses.get(organisation);
      if (use === undefined) {
        continue;
      }
      if (limits === undefined) {
        this.#uses.delete(organisation);
        continue;
      }
      const wasLimited = use.isLimited();
      use.update(limits, this.#getDemand(organisation, use, now), now);
      const isLimited = use.isLimited();
      if (isLimited !== wasLimited) {
        this.#effects.push({isLimited, kind: 'limitChanged', organisation});
        isNewlyLimited ||= isLimited;
      }
    }
    return isNewlyLimited;
  }

  #getDemand(
    organisation: string,
    use: OrganisationUse,
    now: Milliseconds,
  ): number {
    return use.asked.get(now) + this.#contacts.getPeerDemand(organisation, now);
  }

  #answerAll(now: Milliseconds): void {
    for (const [daemon, source] of this.#contacts.listDaemons()) {
      this.#answer(daemon, source, UNSOLICITED_SEQUENCE, now);
    }
  }

  #answer(
    to: DaemonName,
    source: QuotaSource,
    sequence: number,
    now: Milliseconds,
  ): void {
    const limits: QuotaAnswer['limits'] = [];
    const daemons = this.#contacts.countDaemons(now);
    for (const [organisation, use] of this.#uses) {
      const bucketLimits = this.#getLimits(organisation);
      if (!use.isLimited() || bucketLimits === undefined) {
        continue;
      }
      const demand = this.#getDemand(organisation, use, now);
      const asked = source.getAskedRate(organisation, now);
      const share = getShare(asked, demand, daemons);
      const requestsPerSecond = use.getAllowedRate(bucketLimits, now) * share;
      limits.push({organisation, requestsPerSecond});
    }
    this.#effects.push({
      kind: 'send',
      message: {
        isComplete: this.#isSettled(now),
        kind: 'answer',
        limits,
        sequence,
      },
      to,
    });
  }

  /** Whether the estimates hold what all daemons and aggregators reported. */
  #isSettled(now: Milliseconds): boolean {
    return now - (this.#startedAt ?? now) >= SETTLING_MILLISECONDS;
  }

  #sendSums(
    to: DaemonName,
    now: Milliseconds,
    only?: ReadonlySet<string>,
  ): void {
    const entries: QuotaSums['entries'] = [];
    for (const [organisation, use] of this.#uses) {
      const {admitted, asked, countedAt} = use;
      const isSent = only?.has(organisation) ?? true;
      if (isSent && now - countedAt <= SUMS_REPETITION_MILLISECONDS) {
        entries.push({
          admitted,
          askedPerSecond: Math.round(asked.get(now)),
          organisation,
          tokens: Math.round(use.getTokens() / this.#fraction),
        });
      }
    }
    const message: QuotaSums = {
      ageMilliseconds: now - (this.#startedAt ?? now),
      daemons: this.#contacts.countOwnDaemons(now),
      entries,
      generation: this.#generation,
      kind: 'sums',
    };
    this.#effects.push({kind: 'send', message, to});
  }
}
