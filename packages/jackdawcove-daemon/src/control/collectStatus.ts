/** Asks the members which revision they run. */

import type {
  FleetMember,
  MissingMember,
  MissingReason,
} from './ConfigurationService.js';
import type {AppliedRevision} from './ControlServer.js';
import type {DaemonName} from 'jackdawcove-shared';

import {STATUS_CONCURRENCY} from './ControlConstants.js';

/** Input of `collectStatus`. */
export type CollectStatusInput = {
  /** Resolves with undefined if the member does not answer. */
  readonly askMember: (
    daemon: DaemonName,
  ) => Promise<AppliedRevision | undefined>;
  readonly members: readonly FleetMember[];
  /** Newest revision known to this daemon. */
  readonly newest: AppliedRevision;
};

/** Newest revision, and which members do not run it. */
export type CollectedStatus = {
  readonly inForceCount: number;
  readonly missing: readonly MissingMember[];
  readonly newest: AppliedRevision;
};

type MemberAnswer = {
  readonly applied: AppliedRevision | undefined;
  readonly daemon: DaemonName;
};

async function askMembers(
  input: CollectStatusInput,
): Promise<readonly MemberAnswer[]> {
  const answers: MemberAnswer[] = [];
  const queue = [...input.members];
  const askNextMembers = async () => {
    for (
      let member = queue.shift();
      member !== undefined;
      member = queue.shift()
    ) {
      const {daemon, isReachable} = member;
      const applied = isReachable ? await input.askMember(daemon) : undefined;
      answers.push({applied, daemon});
    }
  };
  await Promise.all(Array.from({length: STATUS_CONCURRENCY}, askNextMembers));
  return answers;
}

function findReason(
  applied: AppliedRevision | undefined,
  newest: AppliedRevision,
): MissingReason | undefined {
  if (applied === undefined) {
    return 'unreachable';
  }
  if (applied.revision < newest.revision) {
    return 'behind';
  }
  return applied.digest === newest.digest ? undefined : 'digestDiffers';
}

/**
 * Asks the reachable members with bounded concurrency. Returns how many members run
 * the newest revision, and which do not, with the reason.
 *
 * @example
 * const {missing} = await collectStatus({askMember, members, newest});
 */
export async function collectStatus(
  input: CollectStatusInput,
): Promise<CollectedStatus> {
  const answers = await askMembers(input);
  const newest = answers
    .flatMap(({applied}) => applied ?? [])
    .reduce(
      (highest, applied) =>
        applied.revision > highest.revision ? applied : highest,
      input.newest,
    );
  const missing = answers.flatMap(({applied, daemon}) => {
    const reason = findReason(applied, newest);
    return reason === undefined
      ? []
      : [{daemon, reason, revision: applied?.revision}];
  });
  missing.sort((left, right) => (left.daemon < right.daemon ? -1 : 1));
  return {inForceCount: answers.length - missing.length, missing, newest};
}
