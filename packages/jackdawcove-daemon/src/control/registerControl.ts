/** Registers the replicated configuration with the daemon. */

import type {DaemonHost} from '../DaemonHost.js';
import type {LedgerAssignmentReplication} from '../ledger/LedgerService.js';
import type {
  ConfigurationService,
  ControlDependencies,
} from './ConfigurationService.js';
import type {ConfirmedRevision} from 'jackdawcove-organisations';
import type {SpreadRecord} from 'jackdawcove-revision';
import type {DaemonName, Teardown} from 'jackdawcove-shared';
import type {FileOperations} from 'jackdawcove-storage';

import {join} from 'node:path';

import {spreadRecordSchema} from 'jackdawcove-revision';
import {createFileOperations, RecordFile} from 'jackdawcove-storage';
import {isErr} from 'true-myth/result';
import {z} from 'zod';

import {
  APPLIED_FILE_NAME,
  STORAGE_RETRY_MILLISECONDS,
} from './ControlConstants.js';
import {ControlRuntime} from './ControlRuntime.js';
import {InitialVoters} from './InitialVoters.js';
import {recordVoterEvent} from './recordVoterEvent.js';
import {VoterOpener} from './VoterOpener.js';

/** Control subsystem of the running daemon and its teardown. */
export type ControlRegistration = {
  /** Newest quorum contact of the local voter; undefined unless it leads. */
  readonly getQuorumContact: () => ConfirmedRevision | undefined;
  readonly getVoters: () => readonly DaemonName[];
  readonly ledgerAssignments: LedgerAssignmentReplication;
  readonly service: ConfigurationService;
  readonly teardown: Teardown;
};

const storedRecordsSchema = z.array(spreadRecordSchema);

async function readStoredRecords(
  host: DaemonHost,
  recordFile: RecordFile | undefined,
): Promise<readonly SpreadRecord[]> {
  const content = await recordFile?.read();
  if (content === undefined) {
    return [];
  }
  const parsed = storedRecordsSchema.safeParse(content.unwrapOr([]) ?? []);
  if (isErr(content) || !parsed.success) {
    host.log.error('stored applied records are damaged; starting without them');
    host.recordEvent('copyDamaged');
    return [];
  }
  return parsed.data;
}

/** Returns the data folder, or undefined if none is set or it is unusable. */
async function prepareDataFolder(
  {log, recordEvent, settings}: DaemonHost,
  operations: FileOperations,
): Promise<string | undefined> {
  const {dataFolder} = settings.daemon;
  if (dataFolder === undefined) {
    return undefined;
  }
  try {
    await operations.createFolder(dataFolder);
    return dataFolder;
  } catch (error) {
    // Calls are still served; only the vote and the stored records are missing.
    const detail = String(error);
    log.error({detail}, 'cannot use the data folder');
    recordEvent('storageRefused', {detail, result: 'storageFailed'});
    return undefined;
  }
}

/** A daemon without a voter has nothing to open, so it needs no ticker. */
function registerRetry(
  {registerTicker, settings}: DaemonHost,
  opener: VoterOpener,
): Teardown {
  return settings.control.voter
    ? registerTicker(STORAGE_RETRY_MILLISECONDS, () => {
        void opener.retry();
      })
    : () => undefined;
}

/**
 * Starts the control subsystem of one daemon.
 *
 * @example
 * const {service, teardown} = await registerControl(host, {checkDocument, getMembers});
 */
export async function registerControl(
  host: DaemonHost,
  dependencies: ControlDependencies,
  operations: FileOperations = createFileOperations(),
): Promise<ControlRegistration> {
  const dataFolder = await prepareDataFolder(host, operations);
  const recordFile =
    dataFolder === undefined
      ? undefined
      : new RecordFile(join(dataFolder, APPLIED_FILE_NAME), operations);
  const initialVoters = await InitialVoters.open({
    dataFolder,
    host,
    operations,
  });
  const storedRecords = await readStoredRecords(host, recordFile);
  const runtime = new ControlRuntime({
    dependencies,
    host,
    initialVoters,
    recordFile,
    storedRecords,
  });
  const opener = new VoterOpener({
    dataFolder,
    handlers: {
      onChange: () => {
        runtime.handleVoterChange();
      },
      onEvent: (event) => {
        recordVoterEvent(host, event);
      },
      send: (to, message) => {
        runtime.sendRaftMessage(to, message);
      },
    },
    host,
    onOpen: (voter) => {
      runtime.attachVoter(voter);
    },
    operations,
  });
  await opener.open();
  const unregister = runtime.register();
  const unregisterRetry = registerRetry(host, opener);
  return {
    getQuorumContact: () => opener.getVoter()?.runtime.getQuorumContact(),
    getVoters: () => runtime.getVoters(),
    ledgerAssignments: runtime.ledgerReplication,
    service: runtime.service,
    teardown: () => {
      unregister();
      unregisterRetry();
      opener.close();
    },
  };
}
