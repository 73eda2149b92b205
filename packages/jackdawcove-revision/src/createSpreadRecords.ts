/** Records that voters publish to all daemons. */

import type {ConfigurationRecord} from './ConfigurationChange.js';
import type {SpreadRecord, SpreadTopic} from './SpreadMessages.js';
import type {Replica} from 'jackdawcove-consensus';
import type {DaemonName} from 'jackdawcove-shared';

import {replicaSchema} from 'jackdawcove-consensus';
import {digestHex, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const DIGEST_CHARACTERS = 16;

/** Schema of the content of a leader record. */
export const leaderRecordSchema = z.object({daemon: nameSchema});

/** Schema of the content of a voters record. */
export const votersRecordSchema = z.object({voters: z.array(replicaSchema)});

function digestContent(content: unknown): string {
  return digestHex(JSON.stringify(content)).slice(0, DIGEST_CHARACTERS);
}

function createRecord(
  topic: SpreadTopic,
  version: number,
  content: unknown,
): SpreadRecord {
  return {content, digest: digestContent(content), topic, version};
}

/**
 * Creates the record of an accepted configuration.
 *
 * @example
 * spread.publish([createConfigurationSpreadRecord(record)], now);
 */
export function createConfigurationSpreadRecord(
  record: ConfigurationRecord,
): SpreadRecord {
  const digest = record.digest.slice(0, DIGEST_CHARACTERS);
  const {revision} = record;
  return {content: record, digest, topic: 'configuration', version: revision};
}

/**
 * Creates the record of the ledger assignments.
 *
 * @example
 * createLedgerSpreadRecord(3, assignments);
 */
export function createLedgerSpreadRecord(
  version: number,
  content: unknown,
): SpreadRecord {
  return createRecord('ledgerAssignments', version, content);
}

/**
 * Creates the record of the leader of a term.
 *
 * @example
 * createLeaderSpreadRecord(7, 'erie-1');
 */
export function createLeaderSpreadRecord(
  term: number,
  daemon: DaemonName,
): SpreadRecord {
  return createRecord('leader', term, {daemon});
}

/**
 * Creates the record of the voters that the log entry at an index introduced.
 *
 * @example
 * createVotersSpreadRecord(12, replicaSet.voters);
 */
export function createVotersSpreadRecord(
  index: number,
  voters: readonly Replica[],
): SpreadRecord {
  return createRecord('voters', index, {voters});
}
