/** Member of ledger groups: stores claims and answers claimants. */

import type {KeyIdentifier} from './IdempotencyKey.js';
import type {LedgerAssignments, LedgerGroup} from './LedgerAssignments.js';
import type {
  HeldClaim,
  LedgerMessage,
  LedgerMessageOf,
} from './LedgerMessages.js';
import type {
  DaemonName,
  Incarnation,
  Milliseconds,
  WallClock,
} from 'jackdawcove-shared';

import {match} from 'ts-pattern';

import {getMintTime} from './IdempotencyKey.js';
import {
  EPOCH_GUARD_MS,
  FUTURE_TOLERANCE_MS,
  KEY_RETENTION_MS,
  RECORDS_PER_READ,
  RESEND_INTERVAL_MS,
} from './LedgerConstants.js';
import {isSameAttempt} from './LedgerMessages.js';
import {LedgerSlice} from './LedgerSlice.js';

/** Effect that the caller of a LedgerMember must execute. */
export type LedgerMemberEffect =
  | {
      readonly kind: 'send';
      readonly message: LedgerMessage;
      readonly to: DaemonName;
    }
  /** The generation up to which the member has read its seeds has changed. */
  | {readonly generation: number; readonly kind: 'generationChanged'};

/**
 * Safeguards that a test disables to verify that its checker detects the
 * violations.
 */
export type InjectedMemberBugs = {
  readonly answersBeforeSeeding?: boolean;
  readonly skipsEpochCheck?: boolean;
};

/** Options of a LedgerMember. */
export type LedgerMemberOptions = {
  readonly injectedBugs?: InjectedMemberBugs;
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
  readonly wallClock: WallClock;
};

type Refusal = LedgerMessageOf<'claimAnswer'>['refusal'];

/**
 * Ledger member of one daemon. Times are monotonic; the mint times of keys are
 * compared with `wallClock`.
 *
 * @example
 * const member = new LedgerMember({incarnation, name, wallClock});
 * applyEffects(member.adopt(assignments, now));
 * applyEffects(member.receive(message, source.daemon));
 */
export class LedgerMember {
  readonly #injectedBugs: InjectedMemberBugs;
  #effects: LedgerMemberEffect[] = [];
  readonly #incarnation: Incarnation;
  readonly #name: DaemonName;
  #publishedGeneration = 0;
  #lastReadAt: Milliseconds = 0;
  readonly #slices = new Map<string, LedgerSlice>();
  #version = 0;
  readonly #wallClock: WallClock;

  constructor({
    incarnation,
    injectedBugs = {},
    name,
    wallClock,
  }: LedgerMemberOptions) {
    this.#injectedBugs = injectedBugs;
    this.#incarnation = incarnation;
    this.#name = name;
    this.#wallClock = wallClock;
  }

  /**
   * Adopts newer assignments.
   *
   * @example
   * applyEffects(member.adopt(assignments, now));
   */
  adopt(
    {groups, version}: LedgerAssignments,
    now: Milliseconds,
  ): readonly LedgerMemberEffect[] {
    if (version > this.#version) {
      for (const group of groups) {
        this.#adoptGroup(group);
      }
      this.#version = version;
      this.#sendReads(now);
    }
    return this.#takeEffects();
  }

  /**
   * Handles a message that has been validated against its schema.
   *
   * @example
   * applyEffects(member.receive(message, source.daemon));
   */
  receive(
    message: LedgerMessage,
    from: DaemonName,
  ): readonly LedgerMemberEffect[] {
    match(message)
      .with({kind: 'claim'}, (claim) => {
        this.#answerClaim(claim, from);
      })
      .with({kind: 'completions'}, (completions) => {
        this.#applyCompletions(completions, from);
      })
      .with({kind: 'group'}, ({group}) => {
        this.#adoptGroup(group);
      })
      .with({kind: 'read'}, (read) => {
        this.#answerRead(read, from);
      })
      .with({kind: 'readAnswer'}, (answer) => {
        this.#applyRead(answer, from);
      })
      .otherwise(() => undefined);
    return this.#takeEffects();
  }

  /** Resends unanswered reads and deletes expired records. */
  tick(now: Milliseconds): readonly LedgerMemberEffect[] {
    if (now - this.#lastReadAt >= RESEND_INTERVAL_MS) {
      this.#sendReads(now);
    }
    for (const slice of this.#slices.values()) {
      slice.records.removeExpired(this.#wallClock());
    }
    return this.#takeEffects();
  }

  /** Returns the number of stored records. */
  getRecordCount(): number {
    return [...this.#slices.values()].reduce(
      (count, {records}) => count + records.getSize(),
      0,
    );
  }

  /**
   * Returns whether the member has read the seeds of all its groups completely.
   */
  isSeeded(): boolean {
    return [...this.#slices.values()].every((slice) => !slice.isReading());
  }

  #adoptGroup(group: LedgerGroup): void {
    const name = getSliceName(group.availabilityZone, group.slice);
    const slice = this.#slices.get(name);
    if (slice === undefined) {
      const isMemberOrSeed = [...group.members, ...group.seeds].some(
        (member) => member.name === this.#name,
      );
      if (isMemberOrSeed) {
        this.#slices.set(
          name,
          new LedgerSlice(group, this.#name, this.#incarnation),
        );
      }
      return;
    }
    slice.adopt(group);
  }

  #answerClaim(claim: LedgerMessageOf<'claim'>, from: DaemonName): void {
    const slice = this.#slices.get(getSliceName(claim.zone, claim.slice));
    if (slice === undefined || claim.attempt.owner !== from) {
      return;
    }
    if (claim.generation !== slice.getGroup().generation) {
      this.#send(from, {group: slice.getGroup(), kind: 'group'});
      return;
    }
    if (
      !slice.isServing() &&
      this.#injectedBugs.answersBeforeSeeding !== true
    ) {
      return;
    }
    const refusal = this.#getRefusal(claim.key, slice);
    const held = refusal === undefined ? storeClaim(slice, claim) : undefined;
    if (held === 'ended') {
      return;
    }
    this.#send(from, {
      claimantIncarnation: claim.attempt.incarnation,
      generation: claim.generation,
      incarnation: this.#incarnation,
      key: claim.key,
      kind: 'claimAnswer',
      sequence: claim.attempt.sequence,
      ...(held === undefined ? {} : {held}),
      ...(refusal === undefined ? {} : {refusal}),
    });
  }

  #getRefusal(key: KeyIdentifier, slice: LedgerSlice): Refusal {
    const now = this.#wallClock();
    const mintedAt = getMintTime(key);
    const earliestMintTime =
      slice.getGroup().epochStartedAtMilliseconds + EPOCH_GUARD_MS;
    if (now - mintedAt > KEY_RETENTION_MS) {
      return 'expired';
    }
    if (mintedAt - now > FUTURE_TOLERANCE_MS) {
      return 'fromFuture';
    }
    const isBeforeEpoch = mintedAt < earliestMintTime;
    return isBeforeEpoch && this.#injectedBugs.skipsEpochCheck !== true
      ? 'epochChanged'
      : undefined;
  }

  #applyCompletions(
    {completions, incarnation}: LedgerMessageOf<'completions'>,
    owner: DaemonName,
  ): void {
    for (const {key, sequence, state} of completions) {
      for (const {records} of this.#slices.values()) {
        const claims = records.getClaims(key);
        const ended = {incarnation, owner, sequence};
        if (claims.some((claim) => isSameAttempt(claim, ended))) {
          records.setClaims(
            key,
            claims.map((claim) =>
              isSameAttempt(claim, ended) ? {...claim, state} : claim,
            ),
          );
        }
      }
    }
  }

  #answerRead(
    {cursor, group}: LedgerMessageOf<'read'>,
    from: DaemonName,
  ): void {
    this.#adoptGroup(group);
    const name = getSliceName(group.availabilityZone, group.slice);
    const slice = this.#slices.get(name);
    const isSeed = group.seeds.some(
      (seed) =>
        seed.name === this.#name && seed.incarnation === this.#incarnation,
    );
    if (slice === undefined || !isSeed) {
      return;
    }
    if (slice.getGroup().generation > group.generation) {
      this.#send(from, {group: slice.getGroup(), kind: 'group'});
      return;
    }
    const records = slice.getSnapshot(from, cursor);
    const nextCursor = cursor + RECORDS_PER_READ;
    this.#send(from, {
      cursor,
      generation: group.generation,
      incarnation: this.#incarnation,
      kind: 'readAnswer',
      records: records.slice(cursor, nextCursor),
      slice: group.slice,
      zone: group.availabilityZone,
      ...(nextCursor < records.length ? {nextCursor} : {}),
    });
  }

  #applyRead(answer: LedgerMessageOf<'readAnswer'>, from: DaemonName): void {
    const slice = this.#slices.get(getSliceName(answer.zone, answer.slice));
    if (slice?.getGroup().generation !== answer.generation) {
      return;
    }
    const nextCursor = slice.applyRead(answer, from);
    if (nextCursor !== undefined) {
      this.#sendRead(slice, from, nextCursor);
    }
  }

  #sendReads(now: Milliseconds): void {
    this.#lastReadAt = now;
    for (const slice of this.#slices.values()) {
      for (const {cursor, name} of slice.getPendingReads()) {
        this.#sendRead(slice, name, cursor);
      }
    }
  }

  #sendRead(slice: LedgerSlice, seed: DaemonName, cursor: number): void {
    this.#send(seed, {cursor, group: slice.getGroup(), kind: 'read'});
  }

  #send(to: DaemonName, message: LedgerMessage): void {
    this.#effects.push({kind: 'send', message, to});
  }

  #takeEffects(): readonly LedgerMemberEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    const generation = this.#getServedGeneration();
    if (generation !== this.#publishedGeneration) {
      this.#publishedGeneration = generation;
      effects.push({generation, kind: 'generationChanged'});
    }
    return effects;
  }

  /**
   * Returns the newest generation whose seeds the member had to read and has
   * read; it stays below each generation whose seeds are still being read.
   * Members in `continuing` read nothing, so they need not publish a
   * generation.
   */
  #getServedGeneration(): number {
    const slices = [...this.#slices.values()];
    const read = slices
      .filter((slice) => slice.hasFinishedReading())
      .map((slice) => slice.getGroup().generation);
    const reading = slices
      .filter((slice) => slice.isReading())
      .map((slice) => slice.getGroup().generation - 1);
    const served = Math.min(this.#version, Math.max(0, ...read), ...reading);
    return Math.max(this.#publishedGeneration, served);
  }
}

/**
 * Stores a claim, or returns the conflicting claim; `ended` if the attempt is
 * over.
 */
function storeClaim(
  {records}: LedgerSlice,
  {attempt, fingerprint, key, superseded}: LedgerMessageOf<'claim'>,
): HeldClaim | 'ended' | undefined {
  const claims = records.getClaims(key);
  const existing = claims.find((claim) => isSameAttempt(claim, attempt));
  if (existing !== undefined && existing.state !== 'claimed') {
    return 'ended';
  }
  const conflict = claims.find(
    (claim) =>
      claim !== existing &&
      claim.state !== 'released' &&
      !superseded.some((ended) => isSameAttempt(ended, claim)),
  );
  if (conflict === undefined) {
    records.setClaims(key, [{...attempt, fingerprint, state: 'claimed'}]);
  }
  return conflict;
}

function getSliceName(zone: string, slice: number): string {
  return `${zone}/${String(slice)}`;
}
