/** Quotas at one daemon: admits requests, counts them and reports the counts. */

import type {QuotaAnswer, QuotaReport} from './QuotaMessages.js';
import type {FindQuota, Quota, QuotaRule} from './QuotaTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {
  MILLISECONDS_PER_SECOND,
  ProcessNumbers,
  WindowCount,
} from 'jackdawcove-shared';

import {isSurge} from './isSurge.js';
import {LocalShare} from './LocalShare.js';
import {
  ANSWER_LEASE_MILLISECONDS,
  CORRECTION_MILLISECONDS,
  UNSOLICITED_SEQUENCE,
} from './QuotaConstants.js';
import {ReturnSchedule} from './ReturnSchedule.js';

/** Dependencies of a daemon's quotas. */
export type QuotaLimiterOptions = {
  readonly findQuota: FindQuota;
  /** Number of daemons that may admit requests, in reach or not. */
  readonly getKnownDaemons: () => number;
  /** Number that changes with each start of the daemon. */
  readonly process: number;
  /** Value in [0, 1) by which this daemon rounds its share of whole requests. */
  readonly rounding: number;
  readonly rule: QuotaRule;
  readonly startedAt: Milliseconds;
};

type OrganisationState = {
  acknowledged: number;
  admitted: number;
  asked: number;
  /** Part of a unit that the next share begins with. */
  phase: number;
  /** Units given back after they were reported; they are used again. */
  returned: number;
  returnedAt: Milliseconds;
  readonly schedule: ReturnSchedule;
  sentAdmitted: number;
  share: LocalShare | undefined;
  readonly window: WindowCount;
};

/**
 * Answers the load of organisations that send more than they may, over all
 * daemons. While an aggregator answers, requests are admitted freely until it
 * states a share; without an aggregator the daemon keeps to its equal part of
 * what may run in a window.
 */
export class QuotaLimiter {
  #answeredAt: Milliseconds | undefined;
  readonly #options: QuotaLimiterOptions;
  readonly #organisations = new Map<string, OrganisationState>();
  readonly #sequences: ProcessNumbers;

  constructor(options: QuotaLimiterOptions) {
    this.#options = options;
    this.#sequences = new ProcessNumbers(options.process);
  }

  /**
   * Admits a request. Returns 0, or the time after which to ask again.
   *
   * @example
   * const delay = limiter.admit('north-grocers', clock());
   */
  admit(organisation: string, now: Milliseconds): Milliseconds {
    const quota = this.#options.findQuota(organisation);
    if (quota === undefined) {
      return 0;
    }
    const state = this.#getState(organisation);
    state.asked += 1;
    const delay = this.isInContact(now)
      ? takeShare(state, now)
      : this.#takeEqualPart(state, quota, now);
    if (delay === 0) {
      countAdmitted(state, now);
    }
    return delay;
  }

  /** Gives back the unit of a request that was not sent to an instance. */
  giveBack(organisation: string, now: Milliseconds): void {
    const state = this.#organisations.get(organisation);
    if (state === undefined) {
      return;
    }
    state.window.decrement(now);
    state.share?.giveBack();
    if (state.admitted > state.sentAdmitted) {
      state.admitted -= 1;
    } else {
      state.returned += 1;
      state.returnedAt = now;
    }
  }

  /** Whether an aggregator answered recently. */
  isInContact(now: Milliseconds): boolean {
    return (
      this.#answeredAt !== undefined &&
      now - this.#answeredAt <= ANSWER_LEASE_MILLISECONDS
    );
  }

  /**
   * Whether more was admitted freely since the last report than the quota of a short
   * time, so that the next report must not wait for its interval.
   *
   * @example
   * if (limiter.isSurging('north-grocers', clock())) send(limiter.createReport());
   */
  isSurging(organisation: string, now: Milliseconds): boolean {
    const quota = this.#options.findQuota(organisation);
    const state = this.#organisations.get(organisation);
    return (
      quota !== undefined &&
      state !== undefined &&
      state.share === undefined &&
      this.isInContact(now) &&
      isSurge(quota, state.admitted - state.sentAdmitted)
    );
  }

  /** Creates the report of what was admitted and is not acknowledged yet. */
  createReport(): QuotaReport {
    const entries: QuotaReport['entries'] = [];
    for (const [organisation, state] of this.#organisations) {
      const {acknowledged, admitted, asked} = state;
      if (asked > 0 || admitted > acknowledged) {
        entries.push({acknowledged, admitted, asked, organisation});
        state.asked = 0;
      }
      state.sentAdmitted = admitted;
    }
    return {
      entries,
      kind: 'report',
      process: this.#options.process,
      sequence: this.#sequences.create(),
    };
  }

  /**
   * Applies the shares that an aggregator stated. A complete answer lifts all
   * others; an incomplete one is no reason to admit more than before.
   */
  handleAnswer(answer: QuotaAnswer, now: Milliseconds): void {
    const {isComplete, limits, sequence} = answer;
    if (sequence !== UNSOLICITED_SEQUENCE && !this.#sequences.has(sequence)) {
      return;
    }
    if (isComplete || this.isInContact(now)) {
      this.#answeredAt = now;
    }
    const limited = new Set<string>();
    for (const {organisation, requestsPerSecond} of limits) {
      limited.add(organisation);
      this.#setShare(organisation, requestsPerSecond, now);
    }
    for (const [organisation, state] of this.#organisations) {
      if (sequence === this.#sequences.getLast()) {
        state.acknowledged = state.sentAdmitted;
      }
      if (isComplete && !limited.has(organisation)) {
        state.phase = state.share?.getPhase() ?? state.phase;
        state.share = undefined;
      }
    }
  }

  #setShare(
    organisation: string,
    requestsPerSecond: number,
    now: Milliseconds,
  ): void {
    if (this.#options.findQuota(organisation) === undefined) {
      return;
    }
    const state = this.#getState(organisation);
    if (state.share === undefined) {
      state.share = new LocalShare(requestsPerSecond, state.phase, now);
    } else {
      state.share.setRate(requestsPerSecond, now);
    }
  }

  #takeEqualPart(
    state: OrganisationState,
    quota: Quota,
    now: Milliseconds,
  ): Milliseconds {
    const {rounding, rule} = this.#options;
    const part = this.#getEqualPart(quota, now);
    if (state.window.get(now) < Math.floor(part + rounding)) {
      return 0;
    }
    const interval = rule.windowMilliseconds / part;
    return state.schedule.getDelay(interval, interval, now);
  }

  /**
   * Returns what this daemon may admit in a window. What earlier processes
   * admitted is not known, so the part grows during the first window.
   */
  #getEqualPart({burst, requestsPerSecond}: Quota, now: Milliseconds): number {
    const {getKnownDaemons, rule, startedAt} = this.#options;
    const {overRatio, slack, windowMilliseconds} = rule;
    const units =
      (requestsPerSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND +
      burst;
    const tolerated = units * (1 + overRatio / 2) + slack / 2;
    const grown =
      this.#answeredAt === undefined
        ? Math.min(1, (now - startedAt) / windowMilliseconds)
        : 1;
    return (tolerated * grown) / Math.max(1, getKnownDaemons());
  }

  #getState(organisation: string): OrganisationState {
    let state = this.#organisations.get(organisation);
    if (state === undefined) {
      state = {
        acknowledged: 0,
        admitted: 0,
        asked: 0,
        phase: this.#options.rounding,
        returned: 0,
        returnedAt: 0,
        schedule: new ReturnSchedule(),
        sentAdmitted: 0,
        share: undefined,
        window: new WindowCount(this.#options.rule.windowMilliseconds),
      };
      this.#organisations.set(organisation, state);
    }
    return state;
  }
}

function takeShare(
  {schedule, share}: OrganisationState,
  now: Milliseconds,
): Milliseconds {
  if (share === undefined || share.take(now)) {
    return 0;
  }
  return schedule.getDelay(share.getDelay(now), share.getInterval(), now);
}

/** Counts a request, unless a unit was given back shortly before. */
function countAdmitted(state: OrganisationState, now: Milliseconds): void {
  state.window.increment(now);
  if (now - state.returnedAt > CORRECTION_MILLISECONDS) {
    state.returned = 0;
  }
  if (state.returned > 0) {
    state.returned -= 1;
  } else {
    state.admitted += 1;
  }
}
