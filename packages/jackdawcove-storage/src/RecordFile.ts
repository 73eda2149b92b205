/** File with one record, which is replaced as a whole. */

import type {FileOperations} from './FileOperations.js';
import type {Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {createFailure} from 'jackdawcove-shared';
import {err, ok} from 'true-myth/result';

import {
  decodeRecord,
  encodeRecord,
  replaceFile,
  toStorageFailure,
} from './StorageUtils.js';

/**
 * File with one checksummed record. Replacements run one after another.
 *
 * @example
 * const file = new RecordFile('/data/applied', createFileOperations());
 * await file.replace({revision: 7});
 * await file.read(); // Ok({revision: 7})
 */
export class RecordFile {
  readonly #operations: FileOperations;
  readonly #path: string;
  #lastReplacement: Promise<unknown> = Promise.resolve();

  constructor(path: string, operations: FileOperations) {
    this.#operations = operations;
    this.#path = path;
  }

  /** Returns the record, undefined if there is no file, or storageDamaged. */
  async read(): Promise<Result<unknown, Failure>> {
    try {
      const bytes = await this.#operations.readFile(this.#path);
      if (bytes === undefined) {
        return ok(undefined);
      }
      const record = decodeRecord(bytes, 0);
      return record?.end === bytes.length
        ? ok(record.content)
        : err(createFailure('storageDamaged', this.#path));
    } catch (error) {
      return err(toStorageFailure(error));
    }
  }

  /** Replaces the record atomically; it is durable once resolved with Ok. */
  replace(content: unknown): Promise<Result<undefined, Failure>> {
    const replaced = this.#lastReplacement.then(() =>
      this.#writeRecord(content),
    );
    this.#lastReplacement = replaced;
    return replaced;
  }

  async #writeRecord(content: unknown): Promise<Result<undefined, Failure>> {
    try {
      const bytes = encodeRecord(content);
      const file = await replaceFile(this.#operations, this.#path, bytes);
      await file.close();
      return ok(undefined);
    } catch (error) {
      return err(toStorageFailure(error));
    }
  }
}
