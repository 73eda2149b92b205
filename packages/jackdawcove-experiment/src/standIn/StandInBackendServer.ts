/** Stand-in backend server: slots, service time, cold start, crash, drain. */

import type {
  StandInCommand,
  StandInRun,
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

type MutableRun = {-readonly [Key in keyof StandInRun]: StandInRun[Key]};

/** A backend server that works by waiting and calls its children through its local daemon. */
export class StandInBackendServer {
  readonly #agent = new Agent({connections: MAXIMUM_CHILD_CONNECTIONS});
  readonly #runs: MutableRun[] = [];
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

  /** Listens on a free loopback port and announces itself every period. */
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

  /** Applies a command. */
  async command(command: StandInCommand): Promise<void> {
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

  /** Closes every connection at once, as a crash does. */
  stop(): void {
    clearInterval(this.#announceTimer);
    this.#server.close();
    this.#server.closeAllConnections();
    void this.#agent.destroy();
  }

  /** Every run so far, in order of their start. */
  getRuns(): readonly StandInRun[] {
    return this.#runs;
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
      // The daemon is away; the next period announces again.
    }
  }

  async #serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const run = this.#recordRun(incoming);
    incoming.resume();
    const abort = new AbortController();
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) {
        run.outcome = run.outcome === 'running' ? 'aborted' : run.outcome;
        abort.abort();
      }
    });
    if (this.#isCrashRequest(run)) {
      run.outcome = 'crashed';
      this.stop();
      return;
    }
    await this.#slots.acquire();
    try {
      await this.#work(incoming, outgoing, abort.signal);
      run.outcome = run.outcome === 'running' ? 'completed' : run.outcome;
    } catch {
      run.outcome = 'aborted';
      this.#answer(outgoing, 500, 'child failed');
    } finally {
      this.#slots.release();
    }
  }

  async #work(
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
        this.#answer(outgoing, status, 'child refused');
        return;
      }
    }
    this.#answer(outgoing, 200, 'x'.repeat(this.#settings.answerBytes));
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

  #answer(outgoing: ServerResponse, status: number, body: string): void {
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

  #recordRun(incoming: IncomingMessage): MutableRun {
    const key = incoming.headers[KEY_HEADER];
    const marker = incoming.headers[MARKER_HEADER];
    const run: MutableRun = {
      idempotencyKey: typeof key === 'string' ? key : undefined,
      method: incoming.method ?? 'GET',
      outcome: 'running',
      path: incoming.url ?? '/',
      requestMarker: typeof marker === 'string' ? marker : undefined,
    };
    this.#runs.push(run);
    return run;
  }

  #isCrashRequest(run: MutableRun): boolean {
    return (
      this.#crashMarker !== undefined && run.path.includes(this.#crashMarker)
    );
  }

  #getServiceMilliseconds(): number {
    const {coldStartFactor, coldStartMilliseconds} = this.#settings;
    const age = performance.now() - this.#startedAt;
    if (age >= coldStartMilliseconds) {
      return this.#serviceMilliseconds;
    }
    const remaining = 1 - age / coldStartMilliseconds;
    return this.#serviceMilliseconds * (1 + (coldStartFactor - 1) * remaining);
  }
}
