/** Handle of the process that holds the stand-in backend servers. */

import type {StandInCommand, StandInSettings} from '../standIn/StandInTypes.js';
import type {InstanceRuns, StandInReply} from './ProcessMessages.js';
import type {Address} from 'jackdawcove-shared';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const PROGRAM = fileURLToPath(new URL('standInProcess.js', import.meta.url));

/** Starts and commands stand-in backend servers. */
export class StandInHost {
  readonly #child: ChildProcess;
  readonly #replies = new Map<number, (reply: StandInReply) => void>();
  #sequence = 0;

  constructor() {
    this.#child = fork(PROGRAM, {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    this.#child.on('message', (message) => {
      const reply = message as StandInReply;
      this.#replies.get(reply.request)?.(reply);
      this.#replies.delete(reply.request);
    });
  }

  /** Starts a stand-in, which announces itself; returns its address. */
  async start(settings: StandInSettings): Promise<Address> {
    const {address} = await this.#ask({kind: 'start', settings});
    if (address === undefined) {
      throw new Error('The stand-in did not start.');
    }
    return address;
  }

  /** Sends a command to one stand-in. */
  async command(instance: string, command: StandInCommand): Promise<void> {
    await this.#ask({command, instance, kind: 'command'});
  }

  /** Returns the runs of every stand-in. */
  async getRuns(): Promise<readonly InstanceRuns[]> {
    const reply = await this.#ask({kind: 'getRuns'});
    return reply.runs ?? [];
  }

  /** Ends the process. */
  stop(): void {
    this.#child.kill('SIGKILL');
  }

  async #ask(question: object): Promise<StandInReply> {
    this.#sequence += 1;
    const request = this.#sequence;
    return new Promise((resolve) => {
      this.#replies.set(request, resolve);
      this.#child.send({...question, request});
    });
  }
}
