/** Sends control requests to other daemons or to the leader of the voters. */

import type {ControlAnswer, ControlRequest} from './ControlMessages.js';
import type {ControlTimers} from './ControlTimers.js';
import type {DaemonName, Failure, Milliseconds} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {createFailure, pickRandom} from 'jackdawcove-shared';
import {err, ok} from 'true-myth/result';

import {
  AVOID_SILENT_MILLISECONDS,
  LEADER_RETRY_MILLISECONDS,
  OPERATION_TIMEOUT_MILLISECONDS,
  REQUEST_TIMEOUT_MILLISECONDS,
} from './ControlConstants.js';

/** Options of a control client. */
export type ControlClientOptions = {
  /** Answers a request that is addressed to this daemon. */
  readonly answerLocally: (request: ControlRequest) => Promise<ControlAnswer>;
  readonly clock: () => Milliseconds;
  readonly createIdentifier: () => string;
  readonly getLeaderHint: () => DaemonName | undefined;
  /** Returns the daemons that may be the leader. */
  readonly getVoters: () => readonly DaemonName[];
  readonly localDaemon: DaemonName;
  readonly randomNumber: () => number;
  readonly send: (
    to: DaemonName,
    identifier: string,
    request: ControlRequest,
  ) => void;
  readonly timers: ControlTimers;
};

type PendingRequest = {
  readonly resolve: (answer: ControlAnswer | undefined) => void;
  readonly to: DaemonName;
};

/**
 * Client for control requests.
 *
 * @example
 * const answer = await client.ask('erie-1', {kind: 'applied'}, 800);
 */
export class ControlClient {
  readonly #options: ControlClientOptions;
  readonly #pending = new Map<string, PendingRequest>();

  constructor(options: ControlClientOptions) {
    this.#options = options;
  }

  /** Handles an answer; drops it unless a request to its source is pending. */
  receive(identifier: string, answer: ControlAnswer, source: DaemonName): void {
    const pending = this.#pending.get(identifier);
    if (pending?.to === source) {
      pending.resolve(answer);
    }
  }

  /** Asks one daemon; resolves with undefined if it does not answer in time. */
  ask(
    to: DaemonName,
    request: ControlRequest,
    timeout: Milliseconds,
  ): Promise<ControlAnswer | undefined> {
    const {answerLocally, createIdentifier, localDaemon, send, timers} =
      this.#options;
    return new Promise((resolve) => {
      const identifier = createIdentifier();
      const finish = (answer: ControlAnswer | undefined) => {
        cancel();
        this.#pending.delete(identifier);
        resolve(answer);
      };
      const cancel = timers.schedule(timeout, () => {
        finish(undefined);
      });
      if (to === localDaemon) {
        void answerLocally(request).then(finish);
      } else {
        this.#pending.set(identifier, {resolve: finish, to});
        send(to, identifier, request);
      }
    });
  }

  /**
   * Asks the leader and retries until it answers or the operation times out. Fails
   * with `changeOutcomeUnknown` if a change may have been accepted without an
   * answer, otherwise with `noLeader`.
   */
  async askLeader(
    request: ControlRequest,
  ): Promise<Result<ControlAnswer, Failure>> {
    const {clock, localDaemon, timers} = this.#options;
    const deadline = clock() + OPERATION_TIMEOUT_MILLISECONDS;
    let hint = this.#options.getLeaderHint();
    const silentUntil = new Map<DaemonName, Milliseconds>();
    const isSilent = (daemon: DaemonName) =>
      clock() < (silentUntil.get(daemon) ?? 0);
    while (clock() < deadline) {
      const to = hint ?? this.#pickVoter(isSilent) ?? localDaemon;
      const answer = await this.ask(to, request, REQUEST_TIMEOUT_MILLISECONDS);
      if (answer !== undefined && answer.kind !== 'notLeader') {
        return ok(answer);
      }
      if (answer === undefined) {
        silentUntil.set(to, clock() + AVOID_SILENT_MILLISECONDS);
      }
      // A follower names a lost leader until its own election timeout.
      const leader = answer?.leader;
      const isUseful =
        leader !== undefined && leader !== to && !isSilent(leader);
      hint = isUseful ? leader : undefined;
      await timers.sleep(LEADER_RETRY_MILLISECONDS);
    }
    const isOutcomeUnknown = silentUntil.size > 0;
    const isChange =
      request.kind === 'propose' || request.kind === 'changeVoters';
    return err(
      createFailure(
        isChange && isOutcomeUnknown ? 'changeOutcomeUnknown' : 'noLeader',
      ),
    );
  }

  /** Prefers voters that have not just been silent. */
  #pickVoter(
    isSilent: (daemon: DaemonName) => boolean,
  ): DaemonName | undefined {
    const {getVoters, randomNumber} = this.#options;
    const voters = getVoters();
    const others = voters.filter((voter) => !isSilent(voter));
    return pickRandom(others.length > 0 ? others : voters, randomNumber);
  }
}
