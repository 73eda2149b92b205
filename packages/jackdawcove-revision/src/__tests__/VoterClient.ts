/** Operator that changes and reads the configuration of a simulated cluster. */

import type {ChangeOutcome, ConfigurationChange} from '../index.js';
import type {SimulatedVoter} from './SimulatedVoter.js';
import type {
  ConfigurationInput,
  ConfigurationOutput,
  Operation,
} from 'jackdawcove-checker';
import type {RandomNumber} from 'jackdawcove-shared';

import {pickRandom} from 'jackdawcove-shared';

type Attempt = {
  readonly change: ConfigurationChange | undefined;
  readonly invokedAt: number;
  triedAt: number;
};

type Answered = {
  readonly change: ConfigurationChange;
  readonly output: ConfigurationOutput;
};

/** What a client needs. */
export type VoterClientOptions = {
  readonly getVoters: () => readonly SimulatedVoter[];
  readonly name: string;
  readonly randomNumber: RandomNumber;
};

const MAXIMUM_IDLE_MILLISECONDS = 600;
const RETRY_MILLISECONDS = 100;
const LEADER_SHARE = 0.7;
const READ_SHARE = 0.3;
const RESEND_SHARE = 0.3;
const STALE_SHARE = 0.2;
const LOST_ANSWER_SHARE = 0.1;

function toOutput(outcome: ChangeOutcome): ConfigurationOutput {
  if (outcome.kind === 'configurationAccepted') {
    return {kind: 'accepted', revision: outcome.record.revision};
  }
  if (
    outcome.kind === 'refused' &&
    outcome.failure.result === 'revisionConflict'
  ) {
    return {kind: 'conflict'};
  }
  throw new Error(`unexpected outcome ${JSON.stringify(outcome)}`);
}

/** Operator with one operation at a time. */
export class VoterClient {
  readonly operations: Operation<ConfigurationInput, ConfigurationOutput>[] =
    [];
  /** Resends that did not get the first result. */
  readonly violations: string[] = [];
  readonly #answered: Answered[] = [];
  #attempt: Attempt | undefined;
  #idleUntil = 0;
  #knownRevision = 0;
  /** Whether the newest revision has to be looked up after a conflict. */
  #mustRead = false;
  #nextNumber = 1;
  #now = 0;
  readonly #options: VoterClientOptions;

  constructor(options: VoterClientOptions) {
    this.#options = options;
  }

  /** Starts, continues or repeats an operation. */
  step(now: number): void {
    this.#now = now;
    if (now < this.#idleUntil) {
      return;
    }
    this.#attempt ??= this.#createAttempt();
    const attempt = this.#attempt;
    if (now - attempt.triedAt >= RETRY_MILLISECONDS) {
      attempt.triedAt = now;
      this.#try(attempt);
    }
  }

  /** Records an operation that never got an answer. */
  finish(): void {
    if (this.#attempt !== undefined) {
      const {change, invokedAt} = this.#attempt;
      this.operations.push({
        input: this.#createInput(change),
        invokedAt,
        output: undefined,
        returnedAt: Number.POSITIVE_INFINITY,
      });
    }
  }

  /** Changes that this client was told to be accepted. */
  getAccepted(): readonly Answered[] {
    return this.#answered.filter(({output}) => output.kind === 'accepted');
  }

  #createInput(change: ConfigurationChange | undefined): ConfigurationInput {
    if (change === undefined) {
      return {kind: 'read'};
    }
    const {changeIdentifier, expectedRevision} = change;
    return {changeIdentifier, expectedRevision, kind: 'change'};
  }

  #createAttempt(): Attempt {
    const {randomNumber} = this.#options;
    const isRead = this.#mustRead || randomNumber() < READ_SHARE;
    return {
      change: isRead ? undefined : this.#createChange(),
      invokedAt: this.#now,
      triedAt: Number.NEGATIVE_INFINITY,
    };
  }

  #createChange(): ConfigurationChange {
    const {name, randomNumber} = this.#options;
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    const isStale = randomNumber() < STALE_SHARE && this.#knownRevision > 0;
    return {
      author: name,
      changeIdentifier: `${name}-${String(number)}`,
      documentText: `text of ${name} ${String(number)}`,
      expectedRevision: this.#knownRevision - (isStale ? 1 : 0),
      reason: 'test',
    };
  }

  #try(attempt: Attempt): void {
    const {getVoters, randomNumber} = this.#options;
    const voters = getVoters();
    const leader = voters.find(({raft}) => raft?.isReadyLeader() === true);
    const voter =
      randomNumber() < LEADER_SHARE ? leader : pickRandom(voters, randomNumber);
    if (voter === undefined) {
      return;
    }
    const {change} = attempt;
    if (change === undefined) {
      this.#read(attempt, voter);
    } else {
      this.#propose(change, voter, (outcome) => {
        this.#answer(attempt, toOutput(outcome));
      });
    }
    this.#resend(voter);
  }

  #propose(
    change: ConfigurationChange,
    voter: SimulatedVoter,
    onOutcome: (outcome: ChangeOutcome) => void,
  ): void {
    const known = voter.findOutcome(change);
    if (known !== undefined) {
      onOutcome(known);
      return;
    }
    if (voter.raft?.isReadyLeader() === true) {
      voter.propose({acceptedAt: this.#now, change, kind: 'change'}, this.#now);
    }
  }

  #read(attempt: Attempt, voter: SimulatedVoter): void {
    const identifier = `${this.#options.name}-${String(this.#now)}`;
    const onReady = () => {
      const record = voter.machine.getConfiguration();
      this.#answer(attempt, {
        changeIdentifier: record?.changeIdentifier ?? '',
        kind: 'value',
        revision: record?.revision ?? 0,
      });
    };
    if (voter.mayRead()) {
      voter.read(identifier, onReady, this.#now);
    }
  }

  #resend(voter: SimulatedVoter): void {
    const {randomNumber} = this.#options;
    const answered = pickRandom(this.#answered, randomNumber);
    if (answered === undefined || randomNumber() > RESEND_SHARE) {
      return;
    }
    this.#propose(answered.change, voter, (outcome) => {
      const output = JSON.stringify(toOutput(outcome));
      if (output !== JSON.stringify(answered.output)) {
        const {changeIdentifier} = answered.change;
        this.violations.push(`resend of ${changeIdentifier} got ${output}`);
      }
    });
  }

  #answer(attempt: Attempt, output: ConfigurationOutput): void {
    const isLost = this.#options.randomNumber() < LOST_ANSWER_SHARE;
    if (attempt !== this.#attempt || isLost) {
      return;
    }
    const {change, invokedAt} = attempt;
    const returnedAt = this.#now;
    const input = this.#createInput(change);
    this.operations.push({input, invokedAt, output, returnedAt});
    this.#attempt = undefined;
    this.#idleUntil =
      this.#now + this.#options.randomNumber() * MAXIMUM_IDLE_MILLISECONDS;
    this.#mustRead = output.kind === 'conflict';
    if (output.kind !== 'conflict') {
      this.#knownRevision = output.revision;
    }
    if (change !== undefined) {
      this.#answered.push({change, output});
    }
  }
}
