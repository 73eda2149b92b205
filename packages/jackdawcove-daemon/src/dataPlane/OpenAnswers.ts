/** Requests of callers whose answers are not completely written. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';

/** Counts open answers of HTTP servers. */
export class OpenAnswers {
  readonly #open = new Set<ServerResponse>();

  constructor(servers: readonly Server[]) {
    for (const server of servers) {
      server.on('request', ({socket}: IncomingMessage, outgoing) => {
        this.#open.add(outgoing);
        const end = (): void => {
          this.#open.delete(outgoing);
          outgoing.off('close', end);
          socket.off('close', end);
        };
        outgoing.on('close', end);
        // Answers of pipelined requests have no socket of their own yet.
        socket.on('close', end);
      });
    }
  }

  /** Number of answers that are neither written nor abandoned by their callers. */
  getCount(): number {
    return this.#open.size;
  }
}
