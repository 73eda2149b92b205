/** A daemon of the simulated fleet: member and claimant of the ledger. */

import type {
  ClaimOutcome,
  DaemonPresence,
  InjectedClaimBugs,
  InjectedMemberBugs,
  LedgerAssignments,
  LedgerClientEffect,
  LedgerMemberEffect,
  LedgerMessage,
} from '../index.js';

import {LedgerClient, LedgerMember} from '../index.js';

/** Safeguards that a test disables. */
export type InjectedLedgerBugs = InjectedClaimBugs & InjectedMemberBugs;

/** Options of a LedgerNode. */
export type LedgerNodeOptions = {
  readonly injectedBugs: InjectedLedgerBugs;
  readonly clockOffsetMs: number;
  readonly firstIncarnation?: number;
  readonly getNow: () => number;
  readonly name: string;
  readonly send: (from: LedgerNode, to: string, message: LedgerMessage) => void;
  readonly zone: string;
};

const FIRST_WALL_TIME_MS = 1_700_000_000_000;

/** A daemon that loses all state except its name when it restarts. */
export class LedgerNode {
  hasLeft = false;
  incarnation = 0;
  isDraining = false;
  isPaused = false;
  isRunning = false;
  ledgerGeneration = 0;
  readonly name: string;
  presence: ReadonlyMap<string, DaemonPresence> = new Map();
  readonly zone: string;
  #client!: LedgerClient;
  #member!: LedgerMember;
  #nextClaim = 1;
  readonly #options: LedgerNodeOptions;
  #claimCallbacks = new Map<number, (outcome: ClaimOutcome) => void>();
  /** Actions postponed while the process is paused. */
  #pausedActions: (() => void)[] = [];

  constructor(options: LedgerNodeOptions) {
    this.name = options.name;
    this.zone = options.zone;
    this.#options = options;
    this.incarnation = (options.firstIncarnation ?? 1) - 1;
    this.start();
  }

  start(): void {
    this.incarnation += 1;
    this.hasLeft = false;
    this.isDraining = false;
    this.isPaused = false;
    this.isRunning = true;
    this.ledgerGeneration = 0;
    this.#claimCallbacks = new Map();
    this.#pausedActions = [];
    const {injectedBugs} = this.#options;
    const sharedOptions = {
      incarnation: this.incarnation,
      injectedBugs,
      name: this.name,
      wallClock: () => this.getWallTime(),
    };
    this.#member = new LedgerMember(sharedOptions);
    this.#client = new LedgerClient({
      ...sharedOptions,
      availabilityZone: this.zone,
      getPresence: (name) => this.presence.get(name),
    });
  }

  stop(): void {
    this.isRunning = false;
  }

  resume(): void {
    this.isPaused = false;
    const actions = this.#pausedActions;
    this.#pausedActions = [];
    for (const action of actions) {
      action();
    }
  }

  /**
   * Binds an action to the current process: it is postponed while the process
   * is paused and dropped once the process has stopped.
   */
  bind(action: () => void): () => void {
    const {incarnation} = this;
    const guarded = (): void => {
      if (!this.isRunning || this.incarnation !== incarnation) {
        return;
      }
      if (this.isPaused) {
        this.#pausedActions.push(guarded);
      } else {
        action();
      }
    };
    return guarded;
  }

  adopt(assignments: LedgerAssignments): void {
    const now = this.#options.getNow();
    this.#applyEffects(this.#member.adopt(assignments, now));
    this.#applyEffects(this.#client.adopt(assignments, now));
  }

  receive(message: LedgerMessage, from: string): void {
    const now = this.#options.getNow();
    this.#applyEffects(this.#member.receive(message, from));
    this.#applyEffects(this.#client.receive(message, from, now));
  }

  tick(): void {
    const now = this.#options.getNow();
    this.#applyEffects(this.#member.tick(now));
    this.#applyEffects(this.#client.tick(now));
  }

  claim(
    key: string,
    fingerprint: string,
    onSettled: (outcome: ClaimOutcome) => void,
  ): void {
    const number = this.#nextClaim;
    this.#nextClaim += 1;
    this.#claimCallbacks.set(number, onSettled);
    const now = this.#options.getNow();
    this.#applyEffects(this.#client.claim(number, {fingerprint, key}, now));
  }

  complete(
    key: string,
    kind: 'answered' | 'notRun' | 'unknown',
    answer: string,
  ): void {
    const now = this.#options.getNow();
    const body = Buffer.from(answer);
    const completion =
      kind === 'answered'
        ? {answer: {body, headers: [], status: 200}, kind}
        : {kind};
    this.#applyEffects(this.#client.complete(key, completion, now));
  }

  getWallTime(): number {
    return (
      FIRST_WALL_TIME_MS + this.#options.getNow() + this.#options.clockOffsetMs
    );
  }

  getRecordCount(): number {
    return this.#member.getRecordCount();
  }

  #applyEffects(
    effects: readonly (LedgerClientEffect | LedgerMemberEffect)[],
  ): void {
    for (const effect of effects) {
      if (effect.kind === 'send') {
        this.#options.send(this, effect.to, effect.message);
      } else if (effect.kind === 'claimSettled') {
        const onSettled = this.#claimCallbacks.get(effect.claimNumber);
        this.#claimCallbacks.delete(effect.claimNumber);
        onSettled?.(effect.outcome);
      } else {
        this.ledgerGeneration = effect.generation;
      }
    }
  }
}
