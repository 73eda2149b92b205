/** Handle of one daemon process of an experiment. */

import type {Baseline, DaemonAddresses} from './ProcessMessages.js';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {daemonStartedSchema} from './ProcessMessages.js';

const PROGRAM = fileURLToPath(new URL('daemonProcess.js', import.meta.url));

/** What a daemon process is started with. */
export type DaemonChildOptions = {
  readonly baseline: Baseline;
  readonly heapMegabytes?: number;
  readonly settingsText: string;
};

/** One daemon in a process of its own. */
export class DaemonChild {
  readonly #options: DaemonChildOptions;
  #addresses: DaemonAddresses | undefined;
  #child: ChildProcess | undefined;

  constructor(options: DaemonChildOptions) {
    this.#options = options;
  }

  /** Addresses of the started daemon. */
  getAddresses(): DaemonAddresses {
    if (this.#addresses === undefined) {
      throw new Error('The daemon has not started.');
    }
    return this.#addresses;
  }

  /** Process identifier, or undefined before the start. */
  getProcessIdentifier(): number | undefined {
    return this.#child?.pid;
  }

  /** Starts the process and waits until it takes calls. */
  async start(): Promise<DaemonAddresses> {
    const child = fork(PROGRAM, {
      execArgv: process.execArgv,
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    this.#child = child;
    const {baseline, settingsText} = this.#options;
    child.send({baseline, settingsText});
    const [message] = (await Promise.race([
      once(child, 'message'),
      once(child, 'exit').then(() => [undefined]),
    ])) as [unknown];
    this.#addresses = daemonStartedSchema.parse(message).addresses;
    return this.#addresses;
  }

  /** Stops the daemon as an operator does and waits for its end. */
  async stop(): Promise<void> {
    await this.#end('SIGTERM');
  }

  /** Kills the daemon. */
  async kill(): Promise<void> {
    await this.#end('SIGKILL');
  }

  /** Freezes the daemon until `resume`. */
  pause(): void {
    this.#child?.kill('SIGSTOP');
  }

  /** Wakes a frozen daemon. */
  resume(): void {
    this.#child?.kill('SIGCONT');
  }

  async #end(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) {
      return;
    }
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    this.#child = undefined;
  }
}
