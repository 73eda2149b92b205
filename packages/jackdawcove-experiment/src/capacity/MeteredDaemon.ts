/** Handle of a daemon process that counts its own traffic. */

import type {MeteredDaemonMessage} from './MeteredDaemonMessages.js';
import type {Traffic} from './TrafficCounter.js';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {trafficSchema} from './TrafficCounter.js';

const PROGRAM = fileURLToPath(
  new URL('meteredDaemonProcess.js', import.meta.url),
);

/** A daemon in a separate process that counts its traffic. */
export class MeteredDaemon {
  readonly #child: ChildProcess = fork(PROGRAM, {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  });

  /** Process identifier of the daemon; undefined when the process could not be started. */
  getProcessIdentifier(): number | undefined {
    return this.#child.pid;
  }

  /** Starts the daemon and waits until it accepts calls. */
  async start(settingsText: string): Promise<void> {
    await this.#sendAndReceive({kind: 'start', settingsText});
  }

  /** Returns the traffic since the process started. */
  async readTraffic(): Promise<Traffic> {
    return this.#sendAndReceive({kind: 'readTraffic'});
  }

  /** Kills the process. */
  stop(): void {
    this.#child.kill('SIGKILL');
  }

  async #sendAndReceive(message: MeteredDaemonMessage): Promise<Traffic> {
    this.#child.send(message);
    const answer: unknown[] = await Promise.race([
      once(this.#child, 'message'),
      once(this.#child, 'exit').then(() => [undefined]),
    ]);
    return trafficSchema.parse(answer[0]);
  }
}
