/** Stand-in backend server with slots, service time, cold start, crash and drain. */

import type {
  StandInCommand,
  StandInExecution,
  StandInSettings,
} from './StandInTypes.js';
import type {Address} from 'jackdawcove-shared';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {match} from 'ts-pattern';
import {Agent, request} from 'undici';

import {SlotQueue} from './SlotQueue.js';

const LOOPBACK = '127.0.0.1';
const ANNOUNCEMENT_PATH = '/jackdaw/announcement';
const CONTEXT_HEADER = 'jackdaw-context';
const KEY_HEADER = 'idempotency-key';
const MARKER_HEADER = 'stand-in-marker';
const MAXIMUM_CHILD_CONNECTIONS = 256;

type MutableExecution = {
  -readonly [Key in keyof StandInExecution]: StandInExecution[Key];
};

/** A backend server that simulates work with a delay and calls its children through its local daemon. */
export class StandInBackendServer {
  readonly #agent = new Agent({connections: MAXIMUM_CHILD_CONNECTIONS});
  readonly #executions: MutableExecution[] = [];
  readonly #server: Server;
  readonly #settings: StandInSettings;
  readonly #slots: SlotQueue;
  readonly #token = crypto.randomUUID();
  #announceTimer: NodeJS.Timeout | undefined;
  #crashMarker: string | undefined;
  #isDraining = false;
  #port = 0;
  #serviceMilliseconds: number;
  #startedAt = 0;

  constructor(settings: StandInSettings) {
    this.#settings = settings;
    this.#serviceMilliseconds = settings.serviceMilliseconds;
    this.#slots = new SlotQueue(settings.slots);
    this.#server = createServer((incoming, outgoing) => {
      void this.#serve(incoming, outgoing);
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  /** Listens on a free loopback port and announces itself periodically. */
  async start(): Promise<Address> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, LOOPBACK, resolve);
    });
    const address = this.#server.address();
    this.#port = typeof address === 'object' && address ? address.port : 0;
    this.#startedAt = performance.now();
    await this.#announce();
    this.#announceTimer = setInterval(() => {
      void this.#announce();
    }, this.#settings.announcePeriodMilliseconds);
    return {host: LOOPBACK, port: this.#port};
  }

  /** Applies a command of the experiment. */
  async applyCommand(command: StandInCommand): Promise<void> {
    await match(command)
      .with({kind: 'drain'}, async () => {
        this.#isDraining = true;
        await this.#announce();
      })
      .with({kind: 'setCrashMarker'}, async ({marker}) => {
        this.#crashMarker = marker;
      })
      .with({kind: 'setServiceTime'}, async ({milliseconds}) => {
        this.#serviceMilliseconds = milliseconds;
      })
      .with({kind: 'stop'}, async () => this.stop())
      .exhaustive();
  }

  /** Closes every connection immediately, as a crash does. */
  stop(): void {
    clearInterval(this.#announceTimer);
    this.#server.close();
    this.#server.closeAllConnections();
    void this.#agent.destroy();
  }

  /** Every execution of a request so far, in order of arrival. */
  getExecutions(): readonly StandInExecution[] {
    return this.#executions;
  }

  async #announce(): Promise<void> {
    const {connections, instance, localDaemon, service, slots} = this.#settings;
    const body = JSON.stringify({
      address: {host: LOOPBACK, port: this.#port},
      connections,
      instance,
      processToken: this.#token,
      service,
      slots,
      state: this.#isDraining ? 'draining' : 'ready',
    });
    try {
      const answer = await request(
        `http://${localDaemon.host}:${String(localDaemon.port)}${ANNOUNCEMENT_PATH}`,
        {
          body,
          dispatcher: this.#agent,
          headers: {'content-type': 'application/json'},
          method: 'PUT',
        },
      );
      await answer.body.dump();
    } catch {
      // The local daemon is unreachable; the next periodic announcement retries.
    }
  }

  async #serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const execution = this.#recordExecution(incoming);
    incoming.resume();
    const abort = new AbortController();
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) {
        execution.outcome =
          execution.outcome === 'running' ? 'aborted' : execution.outcome;
        abort.abort();
      }
    });
    if (this.#isCrashRequest(execution)) {
      execution.outcome = 'crashed';
      this.stop();
      return;
    }
    await this.#slots.acquire();
    try {
      await this.#execute(incoming, outgoing, abort.signal);
      execution.outcome =
        execution.outcome === 'running' ? 'completed' : execution.outcome;
    } catch {
      execution.outcome = 'aborted';
      this.#sendAnswer(outgoing, 500, 'child failed');
    } finally {
      this.#slots.release();
    }
  }

  async #execute(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> {
    if (signal.aborted) {
      return;
    }
    await delay(this.#getServiceMilliseconds(), undefined, {signal});
    for (const child of this.#settings.children) {
      const status = await this.#callChild(child, incoming, signal);
      if (status >= 400) {
        this.#sendAnswer(outgoing, status, 'child refused');
        return;
      }
    }
    this.#sendAnswer(outgoing, 200, 'x'.repeat(this.#settings.answerBytes));
  }

  async #callChild(
    child: StandInSettings['children'][number],
    incoming: IncomingMessage,
    signal: AbortSignal,
  ): Promise<number> {
    const {host, port} = this.#settings.localDaemon;
    const context = incoming.headers[CONTEXT_HEADER];
    const answer = await request(
      `http://${host}:${String(port)}/${child.service}${child.path}`,
      {
        dispatcher: this.#agent,
        headers: typeof context === 'string' ? {[CONTEXT_HEADER]: context} : {},
        method: child.method as 'GET',
        signal,
      },
    );
    await answer.body.dump();
    return answer.statusCode;
  }

  #sendAnswer(outgoing: ServerResponse, status: number, body: string): void {
    if (outgoing.headersSent || outgoing.destroyed) {
      return;
    }
    outgoing.writeHead(status, {
      'content-length': Buffer.byteLength(body),
      'content-type': 'text/plain',
      'stand-in-instance': this.#settings.instance,
    });
    outgoing.end(body);
  }

  #recordExecution(incoming: IncomingMessage): MutableExecution {
    const key = incoming.headers[KEY_HEADER];
    const marker = incoming.headers[MARKER_HEADER];
    const execution: MutableExecution = {
      idempotencyKey: typeof key === 'string' ? key : undefined,
      method: incoming.method ?? 'GET',
      outcome: 'running',
      path: incoming.url ?? '/',
      requestMarker: typeof marker === 'string' ? marker : undefined,
    };
    this.#executions.push(execution);
    return execution;
  }

  #isCrashRequest(execution: MutableExecution): boolean {
    return (
      this.#crashMarker !== undefined &&
      execution.path.includes(this.#crashMarker)
    );
  }

  #getServiceMilliseconds(): number {
    const {coldStartFactor, coldStartMilliseconds} = this.#settings;
    const ageMilliseconds = performance.now() - this.#startedAt;
    if (ageMilliseconds >= coldStartMilliseconds) {
      return this.#serviceMilliseconds;
    }
    const remaining = 1 - ageMilliseconds / coldStartMilliseconds;
    return this.#serviceMilliseconds * (1 + (coldStartFactor - 1) * remaining);
  }
}
