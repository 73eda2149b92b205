/** Answers control requests on this daemon. */

import type {ControlAnswer, ControlRequest} from './ControlMessages.js';
import type {ControlTimers} from './ControlTimers.js';
import type {VoterRuntime} from './VoterRuntime.js';
import type {
  ChangeOutcome,
  ConfigurationChange,
  VoterChange,
} from 'jackdawcove-revision';
import type {DaemonName, Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {createFailure} from 'jackdawcove-shared';
import {isErr} from 'true-myth/result';
import {match} from 'ts-pattern';

import {
  MAXIMUM_HISTORY_RECORDS,
  OPERATION_TIMEOUT_MILLISECONDS,
} from './ControlConstants.js';

/** Applied revision and the digest of its document. */
export type AppliedRevision = {
  readonly digest: string;
  readonly revision: number;
};

/** Options of a control server. */
export type ControlServerOptions = {
  readonly checkDocument: (documentText: string) => Result<unknown, Failure>;
  readonly checkVoters: (
    voters: readonly DaemonName[],
  ) => Result<unknown, Failure>;
  readonly createIdentifier: () => string;
  readonly getApplied: () => AppliedRevision;
  readonly getLeaderHint: () => DaemonName | undefined;
  /** Returns the local voter; undefined until its storage is open. */
  readonly getVoter: () => VoterRuntime | undefined;
  /** Returns whether enough voters store a change that this leader accepts. */
  readonly isAcceptingChanges: () => boolean;
  readonly wallClock: () => number;
  readonly timers: ControlTimers;
};

function toFailureAnswer(failure: Failure): ControlAnswer {
  return {failure, kind: 'failure'};
}

/**
 * Server for control requests.
 *
 * @example
 * const answer = await server.answer({kind: 'applied'});
 */
export class ControlServer {
  readonly #options: ControlServerOptions;

  constructor(options: ControlServerOptions) {
    this.#options = options;
  }

  /**
   * Answers a request. Reads and new changes need the leader; any voter answers a
   * change whose outcome it knows.
   */
  answer(request: ControlRequest): Promise<ControlAnswer> {
    return match(request)
      .with({kind: 'applied'}, () =>
        Promise.resolve({
          ...this.#options.getApplied(),
          kind: 'applied' as const,
        }),
      )
      .with({kind: 'changeVoters'}, ({change}) => this.#changeVoters(change))
      .with({kind: 'history'}, () =>
        this.#read((voter) => ({
          kind: 'history',
          records: voter
            .getStateMachine()
            .getHistory()
            .slice(0, MAXIMUM_HISTORY_RECORDS),
        })),
      )
      .with({kind: 'propose'}, ({change}) => this.#propose(change))
      .with({kind: 'read'}, ({revision}) =>
        this.#read((voter) => {
          const stateMachine = voter.getStateMachine();
          const record = stateMachine.getRecord(
            revision ?? stateMachine.getRevision(),
          );
          return record === undefined
            ? toFailureAnswer(createFailure('notFound', 'revision'))
            : {kind: 'record', record};
        }),
      )
      .exhaustive();
  }

  #createNotLeaderAnswer(): ControlAnswer {
    const {getLeaderHint, getVoter} = this.#options;
    const voter = getVoter();
    const leader =
      voter === undefined
        ? getLeaderHint()
        : voter.getView().status.leader?.daemon;
    return {kind: 'notLeader', leader};
  }

  async #read(
    createAnswer: (voter: VoterRuntime) => ControlAnswer,
  ): Promise<ControlAnswer> {
    const {createIdentifier, getVoter} = this.#options;
    const voter = getVoter();
    const isConfirmed = await voter?.confirmRead(createIdentifier());
    return voter !== undefined && isConfirmed === true
      ? createAnswer(voter)
      : this.#createNotLeaderAnswer();
  }

  async #propose(change: ConfigurationChange): Promise<ControlAnswer> {
    const {checkDocument, getVoter, isAcceptingChanges, wallClock} =
      this.#options;
    const voter = getVoter();
    const knownOutcome = voter?.getStateMachine().findOutcome(change);
    if (knownOutcome !== undefined) {
      return this.#createOutcomeAnswer(knownOutcome, change);
    }
    if (voter?.getView().isReadyLeader !== true || !isAcceptingChanges()) {
      return this.#createNotLeaderAnswer();
    }
    const checked = checkDocument(change.documentText);
    if (isErr(checked)) {
      return toFailureAnswer(checked.error);
    }
    const command = {
      acceptedAt: wallClock(),
      change,
      kind: 'change',
    } as const;
    return this.#submit(voter, command);
  }

  async #changeVoters(change: VoterChange): Promise<ControlAnswer> {
    const {checkVoters, getVoter, wallClock} = this.#options;
    const voter = getVoter();
    const knownOutcome = voter?.getStateMachine().findOutcome(change);
    if (knownOutcome !== undefined) {
      return this.#createOutcomeAnswer(knownOutcome, change);
    }
    if (voter?.getView().isReadyLeader !== true) {
      return this.#createNotLeaderAnswer();
    }
    const checked = checkVoters(change.voters);
    if (isErr(checked)) {
      return toFailureAnswer(checked.error);
    }
    const acceptedAt = wallClock();
    return this.#submit(voter, {acceptedAt, change, kind: 'voterChange'});
  }

  async #submit(
    voter: VoterRuntime,
    command: Parameters<VoterRuntime['submit']>[0],
  ): Promise<ControlAnswer> {
    const {change} = command;
    const cancel = this.#options.timers.schedule(
      OPERATION_TIMEOUT_MILLISECONDS,
      () => {
        voter.removeWaiters(change);
      },
    );
    const outcome = await voter.submit(command);
    cancel();
    return this.#createOutcomeAnswer(outcome, change);
  }

  #createOutcomeAnswer(
    outcome: ChangeOutcome,
    change: ConfigurationChange | VoterChange,
  ): ControlAnswer {
    return match(outcome)
      .with({kind: 'configurationAccepted'}, ({record}): ControlAnswer => ({
        kind: 'record',
        record: {
          ...record,
          documentText: 'documentText' in change ? change.documentText : '',
        },
      }))
      .with({kind: 'votersAccepted'}, ({voters}): ControlAnswer => ({
        kind: 'voters',
        voters,
      }))
      .with({kind: 'refused'}, ({failure}) => toFailureAnswer(failure))
      .exhaustive();
  }
}
