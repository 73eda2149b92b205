/** Handle of a daemon that counts its own traffic. */

import type {CountedDaemonMessage} from './CountedDaemonMessages.js';
import type {Traffic} from './TrafficCounter.js';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {trafficSchema} from './TrafficCounter.js';

const PROGRAM = fileURLToPath(
  new URL('countedDaemonProcess.js', import.meta.url),
);

/** One daemon in a process of its own. */
export class CountedDaemon {
  readonly #child: ChildProcess = fork(PROGRAM, {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  });

  /** Process identifier. */
  getProcessIdentifier(): number | undefined {
    return this.#child.pid;
  }

  /** Starts the daemon and waits until it takes calls. */
  async start(settingsText: string): Promise<void> {
    await this.#ask({kind: 'start', settingsText});
  }

  /** Reads the traffic since the start of the process. */
  async readTraffic(): Promise<Traffic> {
    return this.#ask({kind: 'readTraffic'});
  }

  /** Ends the process. */
  stop(): void {
    this.#child.kill('SIGKILL');
  }

  async #ask(message: CountedDaemonMessage): Promise<Traffic> {
    this.#child.send(message);
    const answer: unknown[] = await Promise.race([
      once(this.#child, 'message'),
      once(this.#child, 'exit').then(() => [undefined]),
    ]);
    return trafficSchema.parse(answer[0]);
  }
}
