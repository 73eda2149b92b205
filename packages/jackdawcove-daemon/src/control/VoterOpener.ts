/** Opens the voter of this daemon, again and again while its disk refuses. */

import type {DaemonHost} from '../DaemonHost.js';
import type {Voter} from './createVoter.js';
import type {VoterHandlers} from './VoterRuntime.js';
import type {Failure} from 'jackdawcove-shared';
import type {FileOperations} from 'jackdawcove-storage';

import {randomUUID} from 'node:crypto';

import {createRaftOptions} from 'jackdawcove-consensus';
import {configurationCommandSchema} from 'jackdawcove-revision';
import {isErr} from 'true-myth/result';

import {createVoter} from './createVoter.js';

/** Options of a voter opener. */
export type VoterOpenerOptions = {
  readonly dataFolder: string | undefined;
  readonly handlers: VoterHandlers;
  readonly host: DaemonHost;
  readonly onOpen: (voter: Voter) => void;
  readonly operations: FileOperations;
};

function measureCommand(command: unknown): number {
  const parsed = configurationCommandSchema.safeParse(command);
  return parsed.success && parsed.data.kind === 'change'
    ? parsed.data.change.documentText.length
    : 1;
}

/** Whether the same folder may open later without a repair. */
function isTemporary({result}: Failure): boolean {
  return result === 'storageFailed' || result === 'storageFull';
}

/**
 * Opener of the voter. Calls are served without a voter too.
 *
 * @example
 * const opener = new VoterOpener(options);
 * await opener.open();
 * await opener.retry(); // opens it now if its disk failed before
 */
export class VoterOpener {
  #isClosed = false;
  #isRetryNeeded = false;
  readonly #options: VoterOpenerOptions;
  #voter: undefined | Voter;

  constructor(options: VoterOpenerOptions) {
    this.#options = options;
  }

  /** Opens the voter if this daemon has one; records the failure if it cannot. */
  async open(): Promise<void> {
    const {dataFolder, host} = this.#options;
    if (!host.settings.control.voter || dataFolder === undefined) {
      return;
    }
    const failure = await this.#tryToOpen(dataFolder);
    if (failure !== undefined) {
      const {detail, result} = failure;
      host.log.error({failure}, 'cannot open the storage of the voter');
      host.recordEvent('storageRefused', {detail, result});
      this.#isRetryNeeded = isTemporary(failure);
    }
  }

  /** Opens the voter after a temporary failure. */
  async retry(): Promise<void> {
    const {dataFolder, handlers} = this.#options;
    if (!this.#isRetryNeeded || dataFolder === undefined) {
      return;
    }
    this.#isRetryNeeded = false;
    const failure = await this.#tryToOpen(dataFolder);
    if (failure === undefined) {
      handlers.onEvent({kind: 'storageRecovered'});
    }
    this.#isRetryNeeded = failure !== undefined && isTemporary(failure);
  }

  getVoter(): undefined | Voter {
    return this.#voter;
  }

  close(): void {
    this.#isClosed = true;
    this.#isRetryNeeded = false;
    void this.#voter?.runtime.close();
  }

  async #tryToOpen(dataFolder: string): Promise<Failure | undefined> {
    const {handlers, host, onOpen, operations} = this.#options;
    const {clock, randomNumber, settings} = host;
    const voter = await createVoter({
      clock,
      createIdentity: randomUUID,
      daemon: settings.daemon.name,
      dataFolder,
      handlers,
      operations,
      raftOptions: createRaftOptions({measureCommand, randomNumber}),
    });
    if (isErr(voter)) {
      return voter.error;
    }
    if (this.#isClosed) {
      void voter.value.runtime.close();
      return undefined;
    }
    this.#voter = voter.value;
    onOpen(voter.value);
    return undefined;
  }
}
