/** Handle of one daemon process of an experiment. */

import type {Baseline, DaemonAddresses} from './ProcessMessages.js';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {daemonStartedSchema} from './ProcessMessages.js';

const PROGRAM = fileURLToPath(new URL('daemonProcess.js', import.meta.url));

/** Options of a daemon process. */
export type DaemonChildOptions = {
  readonly baseline: Baseline;
  readonly heapMegabytes?: number;
  readonly settingsText: string;
};

/** A daemon in a separate process. */
export class DaemonChild {
  readonly #options: DaemonChildOptions;
  #addresses: DaemonAddresses | undefined;
  #child: ChildProcess | undefined;

  constructor(options: DaemonChildOptions) {
    this.#options = options;
  }

  /** Returns the addresses of the started daemon; throws before the start. */
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

  /** Starts the process and waits until the daemon accepts calls. */
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

  /** Stops the daemon gracefully, with SIGTERM, and waits until the process exits. */
  async stop(): Promise<void> {
    await this.#terminate('SIGTERM');
  }

  /** Kills the process, with SIGKILL, and waits until it exits. */
  async kill(): Promise<void> {
    await this.#terminate('SIGKILL');
  }

  /** Suspends the process, with SIGSTOP, until `resume`. */
  pause(): void {
    this.#child?.kill('SIGSTOP');
  }

  /** Resumes a suspended process. */
  resume(): void {
    this.#child?.kill('SIGCONT');
  }

  async #terminate(signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
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
