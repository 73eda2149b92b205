/** Names of the voters that form the first replica set. */

import type {DaemonHost} from '../DaemonHost.js';
import type {DaemonName} from 'jackdawcove-shared';
import type {FileOperations} from 'jackdawcove-storage';

import {join} from 'node:path';

import {nameSchema} from 'jackdawcove-shared';
import {RecordFile} from 'jackdawcove-storage';
import {isErr} from 'true-myth/result';
import {z} from 'zod';

import {INITIAL_VOTERS_FILE_NAME} from './ControlConstants.js';

const storedNamesSchema = z.array(nameSchema).default([]);

/** What the initial voters are read from. */
export type OpenInitialVotersInput = {
  readonly dataFolder: string | undefined;
  readonly host: DaemonHost;
  readonly operations: FileOperations;
};

/**
 * Initial voters of the fleet. The settings may name them at the first start alone, so
 * that a process that is started again before the first replica set exists has them
 * from its data folder or from another initial voter.
 */
export class InitialVoters {
  readonly #file: RecordFile | undefined;
  readonly #host: DaemonHost;
  #names: readonly DaemonName[];

  constructor(host: DaemonHost, file: RecordFile | undefined) {
    this.#file = file;
    this.#host = host;
    this.#names = host.settings.control.initialVoters;
  }

  /**
   * Stores the names in the settings, or reads those of an earlier process.
   *
   * @example
   * const initialVoters = await InitialVoters.open({dataFolder, host, operations});
   * initialVoters.getNames(); // ['vm-1', 'vm-2', 'vm-3']
   */
  static async open({
    dataFolder,
    host,
    operations,
  }: OpenInitialVotersInput): Promise<InitialVoters> {
    const file =
      dataFolder === undefined || !host.settings.control.voter
        ? undefined
        : new RecordFile(
            join(dataFolder, INITIAL_VOTERS_FILE_NAME),
            operations,
          );
    const opened = new InitialVoters(host, file);
    await (opened.#names.length > 0 ? opened.#store() : opened.#read());
    return opened;
  }

  getNames(): readonly DaemonName[] {
    return this.#names;
  }

  /** Takes the names from another initial voter, if this daemon is one and knows none. */
  adopt(names: readonly DaemonName[] = []): void {
    const {name} = this.#host.settings.daemon;
    if (this.#names.length === 0 && names.includes(name)) {
      this.#names = names;
      void this.#store();
    }
  }

  async #read(): Promise<void> {
    const content = await this.#file?.read();
    if (content === undefined) {
      return;
    }
    const stored = storedNamesSchema.safeParse(content.unwrapOr(undefined));
    if (isErr(content) || !stored.success) {
      this.#host.log.error('the stored initial voters are damaged');
      return;
    }
    this.#names = stored.data;
  }

  async #store(): Promise<void> {
    const stored = await this.#file?.replace(this.#names);
    if (stored?.isErr === true) {
      const failure = stored.error;
      this.#host.log.error({failure}, 'cannot store the initial voters');
    }
  }
}
