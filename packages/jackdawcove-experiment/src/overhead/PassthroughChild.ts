/** Handle of one pass-through proxy in a separate process. */

import type {Address} from 'jackdawcove-shared';
import type {ChildProcess} from 'node:child_process';

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';

import {addressSchema} from 'jackdawcove-shared';
import {z} from 'zod';

const PROGRAM = fileURLToPath(
  new URL('../passthrough/passthroughProcess.js', import.meta.url),
);

const startedSchema = z.object({address: addressSchema});

/** One pass-through proxy in a separate process. */
export class PassthroughChild {
  readonly #child: ChildProcess = fork(PROGRAM, {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  });

  /** Starts the proxy that the message describes; `passthroughProcess` has the schema. */
  async start(message: object): Promise<Address> {
    this.#child.send(message);
    const [answer] = (await once(this.#child, 'message')) as [unknown];
    return startedSchema.parse(answer).address;
  }

  /** Process identifier. */
  getProcessIdentifier(): number | undefined {
    return this.#child.pid;
  }

  /** Kills the process. */
  stop(): void {
    this.#child.kill('SIGKILL');
  }
}
