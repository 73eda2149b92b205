/** Handle of the process that runs the stand-in backend servers. */

import type {StandInCommand, StandInSettings} from '../standIn/StandInTypes.js';
import type {InstanceExecutions, StandInReply} from './ProcessMessages.js';
import type {Address} from 'jackdawcove-shared';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const PROGRAM = fileURLToPath(new URL('standInProcess.js', import.meta.url));

/** Starts stand-in backend servers and sends commands to them. */
export class StandInHost {
  readonly #child: ChildProcess;
  readonly #replies = new Map<number, (reply: StandInReply) => void>();
  #lastRequestNumber = 0;

  constructor() {
    this.#child = fork(PROGRAM, {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    this.#child.on('message', (message) => {
      const reply = message as StandInReply;
      this.#replies.get(reply.requestNumber)?.(reply);
      this.#replies.delete(reply.requestNumber);
    });
  }

  /** Starts a stand-in, which announces itself; returns its address. */
  async start(settings: StandInSettings): Promise<Address> {
    const {address} = await this.#sendRequest({kind: 'start', settings});
    if (address === undefined) {
      throw new Error('The stand-in did not start.');
    }
    return address;
  }

  /** Sends a command to one stand-in. */
  async sendCommand(instance: string, command: StandInCommand): Promise<void> {
    await this.#sendRequest({command, instance, kind: 'command'});
  }

  /** Returns the executions of every stand-in. */
  async getExecutions(): Promise<readonly InstanceExecutions[]> {
    const reply = await this.#sendRequest({kind: 'getExecutions'});
    return reply.executions ?? [];
  }

  /** Kills the process with all its stand-ins. */
  stop(): void {
    this.#child.kill('SIGKILL');
  }

  async #sendRequest(request: object): Promise<StandInReply> {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    return new Promise((resolve) => {
      this.#replies.set(requestNumber, resolve);
      this.#child.send({...request, requestNumber});
    });
  }
}
