/** Registers the replicated configuration with the daemon. */

import type {DaemonHost} from '../DaemonHost.js';
import type {LedgerAssignmentReplication} from '../ledger/LedgerService.js';
import type {
  ConfigurationService,
  ControlDependencies,
} from './ConfigurationService.js';
import type {Voter} from './createVoter.js';
import type {VoterHandlers} from './VoterRuntime.js';
import type {ConfirmedRevision} from 'jackdawcove-organisations';
import type {SpreadRecord} from 'jackdawcove-revision';
import type {DaemonName, Teardown} from 'jackdawcove-shared';
import type {FileOperations} from 'jackdawcove-storage';

import {randomUUID} from 'node:crypto';
import {join} from 'node:path';

import {createRaftOptions} from 'jackdawcove-consensus';
import {
  configurationCommandSchema,
  spreadRecordSchema,
} from 'jackdawcove-revision';
import {createFileOperations, RecordFile} from 'jackdawcove-storage';
import {isErr} from 'true-myth/result';
import {z} from 'zod';

import {APPLIED_FILE_NAME} from './ControlConstants.js';
import {ControlRuntime} from './ControlRuntime.js';
import {createVoter} from './createVoter.js';

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

function measureCommand(command: unknown): number {
  const parsed = configurationCommandSchema.safeParse(command);
  return parsed.success && parsed.data.kind === 'change'
    ? parsed.data.change.documentText.length
    : 1;
}

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

async function openVoter(
  host: DaemonHost,
  dataFolder: string | undefined,
  handlers: VoterHandlers,
  operations: FileOperations,
): Promise<Voter | undefined> {
  const {clock, log, randomNumber, recordEvent, settings} = host;
  const {name} = settings.daemon;
  if (!settings.control.voter || dataFolder === undefined) {
    return undefined;
  }
  const voter = await createVoter({
    clock,
    createIdentity: randomUUID,
    daemon: name,
    dataFolder,
    handlers,
    operations,
    raftOptions: createRaftOptions({measureCommand, randomNumber}),
  });
  if (isErr(voter)) {
    // Calls are still served; only the vote is missing.
    const {detail, result} = voter.error;
    log.error({failure: voter.error}, 'cannot open the storage of the voter');
    recordEvent('storageRefused', {detail, result});
    return undefined;
  }
  return voter.value;
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
  const holder: {runtime?: ControlRuntime} = {};
  const handlers: VoterHandlers = {
    onChange: () => holder.runtime?.handleVoterChange(),
    onEvent: (event) => holder.runtime?.handleVoterEvent(event),
    send: (to, message) => holder.runtime?.sendRaftMessage(to, message),
  };
  const voter = await openVoter(host, dataFolder, handlers, operations);
  const storedRecords = await readStoredRecords(host, recordFile);
  const runtime = new ControlRuntime({
    dependencies,
    host,
    recordFile,
    storedRecords,
    voter,
  });
  holder.runtime = runtime;
  const unregister = runtime.register();
  return {
    getQuorumContact: () => voter?.runtime.getQuorumContact(),
    getVoters: () => runtime.getVoters(),
    ledgerAssignments: runtime.ledgerReplication,
    service: runtime.service,
    teardown: () => {
      unregister();
      void voter?.runtime.close();
    },
  };
}
