/** Reads leader, voters and revision from the applied records. */

import type {AppliedRevision} from './ControlServer.js';
import type {RevisionSpread, SpreadRecord} from 'jackdawcove-revision';
import type {DaemonName} from 'jackdawcove-shared';

import {
  configurationRecordSchema,
  leaderRecordSchema,
  votersRecordSchema,
} from 'jackdawcove-revision';

const NO_REVISION: AppliedRevision = Object.freeze({digest: '', revision: 0});

/**
 * Returns the leader according to the applied records; it may have changed since.
 *
 * @example
 * getLeaderHint(spread); // 'erie-1'
 */
export function getLeaderHint(spread: RevisionSpread): DaemonName | undefined {
  const record = spread.getApplied('leader');
  const parsed = leaderRecordSchema.safeParse(record?.content);
  return parsed.success ? parsed.data.daemon : undefined;
}

/**
 * Returns the voters according to the applied records, sorted by name.
 *
 * @example
 * getKnownVoters(spread); // ['erie-1', 'huron-1', 'ontario-1']
 */
export function getKnownVoters(spread: RevisionSpread): readonly DaemonName[] {
  const record = spread.getApplied('voters');
  const parsed = votersRecordSchema.safeParse(record?.content);
  const voters = parsed.success ? parsed.data.voters : [];
  return [...new Set(voters.map(({daemon}) => daemon))].sort();
}

/**
 * Returns the applied revision and the digest of its document.
 *
 * @example
 * getAppliedRevision(spread).revision; // 0 before the first change
 */
export function getAppliedRevision(spread: RevisionSpread): AppliedRevision {
  const record: SpreadRecord | undefined = spread.getApplied('configuration');
  const parsed = configurationRecordSchema.safeParse(record?.content);
  if (!parsed.success) {
    return NO_REVISION;
  }
  const {digest, revision} = parsed.data;
  return {digest, revision};
}
