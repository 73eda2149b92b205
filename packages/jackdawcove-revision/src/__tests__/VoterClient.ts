/** Client that changes and reads the configuration of a simulated cluster. */

import type {ChangeOutcome, ConfigurationChange} from '../index.js';
import type {SimulatedVoter} from './SimulatedVoter.js';
import type {
  ConfigurationInput,
  ConfigurationOutput,
  Operation,
} from 'jackdawcove-checker';
import type {RandomNumber} from 'jackdawcove-shared';

import {pickRandom} from 'jackdawcove-shared';

type PendingOperation = {
  readonly change: ConfigurationChange | undefined;
  readonly invokedAt: number;
  lastTriedAt: number;
};

type AnsweredChange = {
  readonly change: ConfigurationChange;
  readonly output: ConfigurationOutput;
};

/** Options of a client. */
export type VoterClientOptions = {
  readonly getVoters: () => readonly SimulatedVoter[];
  readonly name: string;
  readonly randomNumber: RandomNumber;
};

const MAXIMUM_IDLE_MILLISECONDS = 600;
const RETRY_MILLISECONDS = 100;
const LEADER_PROBABILITY = 0.7;
const READ_PROBABILITY = 0.3;
const RESEND_PROBABILITY = 0.3;
const STALE_REVISION_PROBABILITY = 0.2;
const LOST_ANSWER_PROBABILITY = 0.1;

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

/** Client that runs one operation at a time. */
export class VoterClient {
  readonly operations: Operation<ConfigurationInput, ConfigurationOutput>[] =
    [];
  /** Resends that did not return the first result. */
  readonly violations: string[] = [];
  readonly #answeredChanges: AnsweredChange[] = [];
  #pending: PendingOperation | undefined;
  #idleUntil = 0;
  #knownRevision = 0;
  /** Whether the next operation must read the newest revision, after a conflict. */
  #mustRead = false;
  #nextNumber = 1;
  #now = 0;
  readonly #options: VoterClientOptions;

  constructor(options: VoterClientOptions) {
    this.#options = options;
  }

  /** Starts an operation, or retries the pending one when a retry is due. */
  step(now: number): void {
    this.#now = now;
    if (now < this.#idleUntil) {
      return;
    }
    this.#pending ??= this.#createOperation();
    const operation = this.#pending;
    if (now - operation.lastTriedAt >= RETRY_MILLISECONDS) {
      operation.lastTriedAt = now;
      this.#try(operation);
    }
  }

  /** Records the pending operation as one without an answer. */
  finish(): void {
    if (this.#pending !== undefined) {
      const {change, invokedAt} = this.#pending;
      this.operations.push({
        input: this.#createInput(change),
        invokedAt,
        output: undefined,
        returnedAt: Number.POSITIVE_INFINITY,
      });
    }
  }

  /** Returns the changes that were acknowledged to this client as accepted. */
  getAccepted(): readonly AnsweredChange[] {
    return this.#answeredChanges.filter(
      ({output}) => output.kind === 'accepted',
    );
  }

  #createInput(change: ConfigurationChange | undefined): ConfigurationInput {
    if (change === undefined) {
      return {kind: 'read'};
    }
    const {changeIdentifier, expectedRevision} = change;
    return {changeIdentifier, expectedRevision, kind: 'change'};
  }

  #createOperation(): PendingOperation {
    const {randomNumber} = this.#options;
    const isRead = this.#mustRead || randomNumber() < READ_PROBABILITY;
    return {
      change: isRead ? undefined : this.#createChange(),
      invokedAt: this.#now,
      lastTriedAt: Number.NEGATIVE_INFINITY,
    };
  }

  #createChange(): ConfigurationChange {
    const {name, randomNumber} = this.#options;
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    const isStale =
      randomNumber() < STALE_REVISION_PROBABILITY && this.#knownRevision > 0;
    return {
      author: name,
      changeIdentifier: `${name}-${String(number)}`,
      documentText: `text of ${name} ${String(number)}`,
      expectedRevision: this.#knownRevision - (isStale ? 1 : 0),
      reason: 'test',
    };
  }

  #try(operation: PendingOperation): void {
    const {getVoters, randomNumber} = this.#options;
    const voters = getVoters();
    const leader = voters.find(({raft}) => raft?.isReadyLeader() === true);
    const voter =
      randomNumber() < LEADER_PROBABILITY
        ? leader
        : pickRandom(voters, randomNumber);
    if (voter === undefined) {
      return;
    }
    const {change} = operation;
    if (change === undefined) {
      this.#read(operation, voter);
    } else {
      this.#propose(change, voter, (outcome) => {
        this.#answer(operation, toOutput(outcome));
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
    if (voter.raft?.isReadyLeader() === true && voter.acceptsChanges()) {
      voter.propose({acceptedAt: this.#now, change, kind: 'change'}, this.#now);
    }
  }

  #read(operation: PendingOperation, voter: SimulatedVoter): void {
    const identifier = `${this.#options.name}-${String(this.#now)}`;
    const onReady = () => {
      const record = voter.machine.getConfiguration();
      this.#answer(operation, {
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
    const answered = pickRandom(this.#answeredChanges, randomNumber);
    if (answered === undefined || randomNumber() > RESEND_PROBABILITY) {
      return;
    }
    this.#propose(answered.change, voter, (outcome) => {
      const output = JSON.stringify(toOutput(outcome));
      if (output !== JSON.stringify(answered.output)) {
        const {changeIdentifier} = answered.change;
        this.violations.push(
          `resend of ${changeIdentifier} returned ${output}`,
        );
      }
    });
  }

  #answer(operation: PendingOperation, output: ConfigurationOutput): void {
    const isLost = this.#options.randomNumber() < LOST_ANSWER_PROBABILITY;
    if (operation !== this.#pending || isLost) {
      return;
    }
    const {change, invokedAt} = operation;
    const returnedAt = this.#now;
    const input = this.#createInput(change);
    this.operations.push({input, invokedAt, output, returnedAt});
    this.#pending = undefined;
    this.#idleUntil =
      this.#now + this.#options.randomNumber() * MAXIMUM_IDLE_MILLISECONDS;
    this.#mustRead = output.kind === 'conflict';
    if (output.kind !== 'conflict') {
      this.#knownRevision = output.revision;
    }
    if (change !== undefined) {
      this.#answeredChanges.push({change, output});
    }
  }
}
