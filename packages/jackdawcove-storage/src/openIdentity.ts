/** Identity of a data folder: created once and never reused for other content. */

import type {FileOperations} from './FileOperations.js';
import type {Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {join} from 'node:path';

import {createFailure, nameSchema} from 'jackdawcove-shared';
import {err, isErr, ok} from 'true-myth/result';
import {z} from 'zod';

import {RecordFile} from './RecordFile.js';
import {FILE_NAMES} from './StorageConstants.js';
import {readLog} from './StoredState.js';

const identityRecordSchema = z.object({
  daemon: nameSchema,
  identity: z.string().min(1),
});

/** Input for opening the identity of a data folder. */
export type OpenIdentityInput = {
  readonly createIdentity: () => string;
  readonly daemon: string;
  readonly folder: string;
  readonly operations: FileOperations;
};

/** Identity of a data folder, and whether it was created just now. */
export type FolderIdentity = {
  readonly identity: string;
  readonly isNew: boolean;
};

async function isFolderUnused(input: OpenIdentityInput): Promise<boolean> {
  const {folder, operations} = input;
  const snapshot = await operations.readFile(join(folder, FILE_NAMES.snapshot));
  const log = await operations.readFile(join(folder, FILE_NAMES.log));
  if (snapshot !== undefined) {
    return false;
  }
  if (log === undefined) {
    return true;
  }
  const content = readLog(log, undefined);
  return (
    content.isOk &&
    content.value.entries.length === 0 &&
    content.value.hardState.term === 0
  );
}

async function createIdentityFile(
  input: OpenIdentityInput,
  file: RecordFile,
  prepareFolder: () => Promise<void>,
): Promise<Result<FolderIdentity, Failure>> {
  if (!(await isFolderUnused(input))) {
    return err(createFailure('storageDamaged', 'the identity is missing'));
  }
  await prepareFolder();
  const identity = input.createIdentity();
  const created = await file.replace({daemon: input.daemon, identity});
  return created.map(() => ({identity, isNew: true}));
}

/**
 * Reads the identity of a data folder. For an unused folder it first prepares
 * the folder, then creates an identity.
 *
 * @example
 * const identity = await openIdentity(input, createLog);
 */
export async function openIdentity(
  input: OpenIdentityInput,
  prepareFolder: () => Promise<void>,
): Promise<Result<FolderIdentity, Failure>> {
  const path = join(input.folder, FILE_NAMES.identity);
  const file = new RecordFile(path, input.operations);
  const content = await file.read();
  if (isErr(content)) {
    return err(content.error);
  }
  if (content.value === undefined) {
    return createIdentityFile(input, file, prepareFolder);
  }
  const record = identityRecordSchema.safeParse(content.value);
  if (!record.success) {
    return err(createFailure('storageDamaged', FILE_NAMES.identity));
  }
  const {daemon, identity} = record.data;
  return daemon === input.daemon
    ? ok({identity, isNew: false})
    : err(createFailure('replicaIdentityMismatch', `it is ${daemon}'s`));
}
