/**
 * Records of the attempts that other daemons sent to this one: running, done
 * with a held answer, done without one, or fenced.
 *
 * `neverSeen` guarantees that the attempt was not run and will not be run. It
 * is returned only if the registry is complete for the time at which the
 * attempt was sent.
 */

import type {BodySender} from './BodySender.js';
import type {FrameFields} from './FrameSchemas.js';
import type {
  AttemptIdentifier,
  AttemptResolution,
  SessionLimits,
} from './SessionTypes.js';
import type {DaemonName, Incarnation, Milliseconds} from 'jackdawcove-shared';

import {
  ATTEMPT_RETENTION_MILLISECONDS,
  MAXIMUM_ATTEMPT_RECORDS,
  MAXIMUM_RESOLVE_TRANSIT_MILLISECONDS,
} from './SessionConstants.js';

/** Result of registering an attempt that arrives. */
export type AttemptArrival = 'accepted' | 'duplicate' | 'fenced';

/** Query for the state of an attempt. */
export type AttemptQuery = Omit<FrameFields['resolve'], 'callNumber'>;

/** Object that holds the answer of an attempt. */
export type AnswerHolder = {readonly answer: {readonly body: BodySender}};

/** Result of a query; `holder` holds the answer that follows. */
export type ResolvedAttempt<Holder> =
  | {
      readonly holder: Holder;
      readonly resolution: 'done' | 'running';
    }
  | {readonly resolution: 'neverSeen' | 'unknown'};

/** Options of a registry. */
export type AttemptRegistryOptions = {
  readonly fencesAttempts: boolean;
  readonly incarnation: Incarnation;
  readonly limits: SessionLimits;
};

/** Counts and sizes of a registry. */
export type AttemptCounts = {
  readonly heldAnswers: number;
  readonly heldBytes: number;
  readonly records: number;
  readonly running: number;
};

type AttemptRecord<Holder> = {
  readonly arrivedAt: Milliseconds;
  heldBytes: number;
  holder: Holder | undefined;
  readonly source: DaemonName;
  state: 'done' | 'fenced' | 'running';
  stateSince: Milliseconds;
};

const UNKNOWN = {resolution: 'unknown'} as const;
const NEVER_SEEN = {resolution: 'neverSeen'} as const;

/** Keeps attempts and their answers within limits of count, bytes and time. */
export class AttemptRegistry<Holder extends AnswerHolder> {
  /** The registry is complete for attempts sent after this time. */
  #completeAfter: Milliseconds = Number.NEGATIVE_INFINITY;
  readonly #heldAnswers = new Map<AttemptIdentifier, AttemptRecord<Holder>>();
  #heldBytes = 0;
  readonly #options: AttemptRegistryOptions;
  readonly #running = new Map<AttemptIdentifier, AttemptRecord<Holder>>();
  readonly #settled = new Map<AttemptIdentifier, AttemptRecord<Holder>>();

  constructor(options: AttemptRegistryOptions) {
    this.#options = options;
  }

  /** Returns counts and sizes. */
  getCounts(): AttemptCounts {
    return {
      heldAnswers: this.#heldAnswers.size,
      heldBytes: this.#heldBytes,
      records: this.#running.size + this.#settled.size,
      running: this.#running.size,
    };
  }

  /** Drops the answer of an attempt, because its caller has received it. */
  acknowledge(attemptIdentifier: AttemptIdentifier): void {
    const record = this.#heldAnswers.get(attemptIdentifier);
    if (record !== undefined) {
      this.#dropAnswer(attemptIdentifier, record);
    }
  }

  /** Removes records and answers beyond their retention or the limits. */
  expire(now: Milliseconds): void {
    this.#expireAnswers(now);
    for (const [attemptIdentifier, record] of this.#settled) {
      const age = now - record.stateSince;
      const isKept =
        age < ATTEMPT_RETENTION_MILLISECONDS &&
        this.#settled.size <= MAXIMUM_ATTEMPT_RECORDS;
      if (isKept) {
        break;
      }
      this.acknowledge(attemptIdentifier);
      this.#settled.delete(attemptIdentifier);
      this.#completeAfter = Math.max(this.#completeAfter, record.arrivedAt);
    }
  }

  /** Marks an attempt as done and holds its complete answer. */
  finish(attemptIdentifier: AttemptIdentifier, now: Milliseconds): void {
    const record = this.#running.get(attemptIdentifier);
    if (record === undefined) {
      return;
    }
    this.#running.delete(attemptIdentifier);
    record.heldBytes = record.holder?.answer.body.getHeldBytes() ?? 0;
    record.state = 'done';
    record.stateSince = now;
    this.#heldBytes += record.heldBytes;
    this.#heldAnswers.set(attemptIdentifier, record);
    this.#settled.set(attemptIdentifier, record);
    this.#expireAnswers(now);
  }

  /** Registers an attempt that arrives. */
  registerArrival(
    attemptIdentifier: AttemptIdentifier,
    source: DaemonName,
    holder: Holder,
    now: Milliseconds,
  ): AttemptArrival {
    const known = this.#find(attemptIdentifier);
    if (known !== undefined) {
      return known.state === 'fenced' ? 'fenced' : 'duplicate';
    }
    this.#running.set(attemptIdentifier, {
      arrivedAt: now,
      heldBytes: 0,
      holder,
      source,
      state: 'running',
      stateSince: now,
    });
    return 'accepted';
  }

  /** Resolves an attempt; one resolved as `neverSeen` is fenced. */
  resolve(
    source: DaemonName,
    query: AttemptQuery,
    now: Milliseconds,
  ): ResolvedAttempt<Holder> {
    if (query.targetIncarnation !== this.#options.incarnation) {
      return UNKNOWN;
    }
    const record = this.#find(query.attemptIdentifier);
    if (record === undefined) {
      return this.#resolveUnseen(source, query, now);
    }
    if (record.source !== source) {
      return UNKNOWN;
    }
    if (record.state === 'fenced') {
      return NEVER_SEEN;
    }
    const resolution: AttemptResolution = record.state;
    const {holder} = record;
    return holder?.answer.body.rewind(query.receivedBytes) === true
      ? {holder, resolution}
      : UNKNOWN;
  }

  #dropAnswer(id: AttemptIdentifier, record: AttemptRecord<Holder>): void {
    this.#heldAnswers.delete(id);
    this.#heldBytes -= record.heldBytes;
    record.holder?.answer.body.clear();
    record.heldBytes = 0;
    record.holder = undefined;
  }

  #expireAnswers(now: Milliseconds): void {
    const {heldAnswerBytes, heldAnswerCount, heldAnswerMilliseconds} =
      this.#options.limits;
    for (const [attemptIdentifier, record] of this.#heldAnswers) {
      const isKept =
        now - record.stateSince < heldAnswerMilliseconds &&
        this.#heldAnswers.size <= heldAnswerCount &&
        this.#heldBytes <= heldAnswerBytes;
      if (isKept) {
        break;
      }
      this.#dropAnswer(attemptIdentifier, record);
    }
  }

  #find(
    attemptIdentifier: AttemptIdentifier,
  ): AttemptRecord<Holder> | undefined {
    return (
      this.#running.get(attemptIdentifier) ??
      this.#settled.get(attemptIdentifier)
    );
  }

  #resolveUnseen(
    source: DaemonName,
    query: AttemptQuery,
    now: Milliseconds,
  ): ResolvedAttempt<Holder> {
    const sentAt =
      now - query.ageMilliseconds - MAXIMUM_RESOLVE_TRANSIT_MILLISECONDS;
    if (sentAt <= this.#completeAfter) {
      return UNKNOWN;
    }
    if (this.#options.fencesAttempts) {
      this.#settled.set(query.attemptIdentifier, {
        arrivedAt: now,
        heldBytes: 0,
        holder: undefined,
        source,
        state: 'fenced',
        stateSince: now,
      });
    }
    return NEVER_SEEN;
  }
}
