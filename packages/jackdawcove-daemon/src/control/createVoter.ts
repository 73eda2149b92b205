/** Opens the storage of a voter and creates its replica. */

import type {OpenedVoterStorage, VoterHandlers} from './VoterRuntime.js';
import type {
  RaftInitialState,
  RaftOptions,
  Replica,
} from 'jackdawcove-consensus';
import type {Failure, MonotonicClock} from 'jackdawcove-shared';
import type {
  FileOperations,
  OpenedStorage,
  StoredState,
} from 'jackdawcove-storage';
import type {Result} from 'true-myth/result';

import {join} from 'node:path';

import {entrySchema, RaftReplica, snapshotSchema} from 'jackdawcove-consensus';
import {createFailure} from 'jackdawcove-shared';
import {ReplicaStorage as Storage} from 'jackdawcove-storage';
import {err, isErr, ok} from 'true-myth/result';
import {z} from 'zod';

import {REPLICA_FOLDER_NAME} from './ControlConstants.js';
import {VoterRuntime} from './VoterRuntime.js';

const storedContentSchema = z.object({
  entries: z.array(entrySchema),
  snapshot: snapshotSchema.optional(),
});

/** Input of `createVoter`. */
export type CreateVoterInput = {
  readonly clock: MonotonicClock;
  readonly createIdentity: () => string;
  readonly daemon: string;
  readonly dataFolder: string;
  readonly handlers: VoterHandlers;
  readonly operations: FileOperations;
  readonly raftOptions: RaftOptions;
};

/** Voter with its identity. */
export type Voter = {
  readonly isNew: boolean;
  readonly replica: Replica;
  readonly runtime: VoterRuntime;
};

function parseState(state: StoredState): Result<RaftInitialState, Failure> {
  const content = storedContentSchema.safeParse(state);
  const {term, vote} = state.hardState;
  return content.success
    ? ok({
        entries: content.data.entries,
        hardState: {term, vote},
        snapshot: content.data.snapshot,
      })
    : err(createFailure('storageDamaged', 'an entry or the snapshot'));
}

function openStorage(
  input: CreateVoterInput,
): Promise<Result<OpenedStorage, Failure>> {
  return Storage.open({
    createIdentity: input.createIdentity,
    daemon: input.daemon,
    folder: join(input.dataFolder, REPLICA_FOLDER_NAME),
    operations: input.operations,
  });
}

/** Opens the storage of a running voter again and writes its log anew. */
async function reopenStorage(
  input: CreateVoterInput,
  identity: string,
): Promise<Result<OpenedVoterStorage, Failure>> {
  const opened = await openStorage(input);
  if (isErr(opened)) {
    return err(opened.error);
  }
  const {state, storage} = opened.value;
  if (opened.value.identity !== identity) {
    return err(createFailure('storageDamaged', 'another replica'));
  }
  const {entries, hardState} = state;
  const rewritten = await storage.rewriteLog({
    entries: [...entries],
    hardState,
  });
  if (isErr(rewritten)) {
    await storage.close();
    return err(rewritten.error);
  }
  return parseState(state).map((initialState) => ({initialState, storage}));
}

function createVoterFromStorage(
  input: CreateVoterInput,
  opened: OpenedStorage,
  initialState: RaftInitialState,
): Voter {
  const replica: Replica = {daemon: input.daemon, identity: opened.identity};
  const runtime = new VoterRuntime({
    clock: input.clock,
    createReplica: (state) =>
      new RaftReplica(replica, state, input.raftOptions, input.clock()),
    handlers: input.handlers,
    initialState,
    reopenStorage: () => reopenStorage(input, opened.identity),
    storage: opened.storage,
  });
  return {isNew: opened.isNew, replica, runtime};
}

/**
 * Opens the storage of a voter in its data folder and creates its replica from it.
 *
 * @example
 * const voter = await createVoter(input);
 */
export async function createVoter(
  input: CreateVoterInput,
): Promise<Result<Voter, Failure>> {
  const opened = await openStorage(input);
  if (isErr(opened)) {
    return err(opened.error);
  }
  return parseState(opened.value.state).map((initialState) =>
    createVoterFromStorage(input, opened.value, initialState),
  );
}
