/** Handle of one end of the floor in a process of its own. */

import type {Address} from 'jackdawcove-shared';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {addressSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const PROGRAM = fileURLToPath(
  new URL('../floor/floorProcess.js', import.meta.url),
);

const startedSchema = z.object({address: addressSchema});

/** One end of the floor. */
export class FloorChild {
  readonly #child: ChildProcess = fork(PROGRAM, {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  });

  /** Starts the end that a message of `floorProcess` describes. */
  async start(message: object): Promise<Address> {
    this.#child.send(message);
    const [answer] = (await once(this.#child, 'message')) as [unknown];
    return startedSchema.parse(answer).address;
  }

  /** Process identifier. */
  getProcessIdentifier(): number | undefined {
    return this.#child.pid;
  }

  /** Ends the process. */
  stop(): void {
    this.#child.kill('SIGKILL');
  }
}
