/** HTTP client of the local backend server. */

import type {
  BackendAnswerClassification,
  BackendAnswerHead,
} from '../embedding/EmbeddingTypes.js';
import type {Header} from 'jackdawcove-session';
import type {Address} from 'jackdawcove-shared';
import type {Dispatcher} from 'undici';

import {connect} from 'node:net';

import {
  FIRST_FINAL_STATUS,
  formatAddress,
  MAXIMUM_HTTP_STATUS,
} from 'jackdawcove-shared';
import {buildConnector, Client} from 'undici';

import {
  BACKEND_CONNECT_TIMEOUT_MILLISECONDS,
  CRASH_PROBE_TIMEOUT_MILLISECONDS,
} from './DataPlaneConstants.js';
import {selectAnswerHeaders} from './HttpHeaders.js';

const NOT_DISPATCHED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
type DispatchBody = NonNullable<Dispatcher.DispatchOptions['body']> | null;

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Disables undici's timeouts; the caller's deadline bounds a request instead.
 */
const NO_TIMEOUT_MILLISECONDS = 0;

/** One request to the backend server. */
export type BackendRequest = {
  readonly body: AsyncIterable<Uint8Array> | Uint8Array | undefined;
  readonly headers: readonly Header[];
  readonly method: string;
  readonly path: string;
};

/** Callbacks for the answer to a request. */
export type BackendHandlers = {
  /** Classifies the head of an answer before `onHead` is called. */
  readonly classifyAnswer: (
    answer: BackendAnswerHead,
  ) => BackendAnswerClassification;
  /**
   * Receives a part of the body; returning false pauses until `resume` is
   * called.
   */
  readonly onBody: (bytes: Buffer) => boolean;
  readonly onEnd: () => void;
  /**
   * `isDispatched` is false only if no byte of the request was written, or if
   * the backend server itself refused it (`isRefused`).
   */
  readonly onFailure: (isDispatched: boolean, isRefused?: boolean) => void;
  readonly onHead: (
    status: number,
    headers: readonly Header[],
    resume: () => void,
  ) => void;
};

/** Aborts a request to the backend server. */
export type AbortRequest = () => void;

/** A request to the backend server and its answer. */
class BackendExchange implements Dispatcher.DispatchHandler {
  /** Whether the request's connection was reset. */
  isConnectionReset: () => boolean = () => false;
  /** Called once, before `onEnd` or `onFailure`. */
  onFinished: () => void = () => undefined;
  #controller: Dispatcher.DispatchController | undefined;
  readonly #handlers: BackendHandlers;
  #isAborted = false;
  #isEnded = false;
  #isFramed = true;
  #isNotRun = false;

  constructor(handlers: BackendHandlers) {
    this.#handlers = handlers;
  }

  /** Whether `onEnd` or `onFailure` was called, also because of an abort. */
  isEnded(): boolean {
    return this.#isEnded;
  }

  abort(): void {
    this.#isAborted = true;
    if (this.#controller === undefined) {
      this.#fail(new Error('aborted while waiting for a connection'));
      return;
    }
    this.#controller.abort(new Error('aborted'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isAborted) {
      controller.abort(new Error('aborted'));
    }
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (!this.#isNotRun && !this.#handlers.onBody(chunk)) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    // Without a stated length, undici reports a reset as a normal end of the
    // body.
    if (!this.#isFramed && this.isConnectionReset()) {
      this.#fail(new Error('the connection was reset during the answer'));
      return;
    }
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.onFinished();
      this.#reportEnd();
    }
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.#fail(error);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status > MAXIMUM_HTTP_STATUS) {
      controller.abort(new Error('the status is none of HTTP'));
    } else if (status >= FIRST_FINAL_STATUS) {
      const isFramed =
        headers['content-length'] !== undefined ||
        headers['transfer-encoding'] !== undefined ||
        BODILESS_STATUSES.has(status);
      this.#handleHead(controller, status, flattenHeaders(headers), isFramed);
    }
  }

  #handleHead(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: readonly Header[],
    isFramed: boolean,
  ): void {
    this.#isFramed = isFramed;
    const classification = this.#handlers.classifyAnswer({
      headers,
      isFramed,
      status,
    });
    if (classification === 'foreign') {
      controller.abort(new Error('the answer belongs to another request'));
      return;
    }
    if (classification === 'notRun') {
      // The body is read to its end so that the connection can be reused.
      this.#isNotRun = true;
      return;
    }
    this.#handlers.onHead(status, headers, () => {
      controller.resume();
    });
  }

  #reportEnd(): void {
    if (this.#isNotRun) {
      this.#handlers.onFailure(false, true);
      return;
    }
    this.#handlers.onEnd();
  }

  #fail(error: Error): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    this.onFinished();
    const wasStarted = this.#controller !== undefined;
    const isDispatched =
      !this.#isNotRun &&
      (wasStarted || (!this.#isAborted && isPossiblyWritten(error)));
    this.#handlers.onFailure(isDispatched, this.#isNotRun);
  }
}

/**
 * Sends requests to one backend server over a bounded number of connections.
 * The most recently used idle connection is taken first, which keeps the number
 * of open connections low and those connections warm.
 */
export class BackendClient {
  readonly #address: Address;
  #clientCount = 0;
  readonly #clients = new Set<Client>();
  readonly #connections: number;
  #crashProbe: Promise<boolean> | undefined;
  readonly #idleClients: Client[] = [];
  #isDraining = false;
  readonly #origin: string;
  /** Clients whose latest connection was reset. */
  readonly #resetClients = new Set<Client>();
  readonly #waitingDispatches: (() => void)[] = [];

  constructor(address: Address, connections: number) {
    this.#address = address;
    this.#connections = connections;
    this.#origin = `http://${formatAddress(address)}`;
  }

  /**
   * Sends a request. Exactly one of `onEnd` and `onFailure` is called, even
   * after an abort.
   */
  send(request: BackendRequest, handlers: BackendHandlers): AbortRequest {
    const exchange = new BackendExchange(handlers);
    const dispatch = (): void => {
      if (exchange.isEnded()) {
        this.#waitingDispatches.shift()?.();
        return;
      }
      const client = this.#idleClients.pop() ?? this.#createClient();
      exchange.isConnectionReset = () => this.#resetClients.has(client);
      exchange.onFinished = () => {
        this.#release(client);
      };
      client.dispatch(
        {
          body: (request.body ?? null) as DispatchBody,
          headers: request.headers.flat(),
          method: request.method as Dispatcher.HttpMethod,
          path: request.path,
        },
        exchange,
      );
    };
    if (this.#idleClients.length > 0 || this.#clientCount < this.#connections) {
      dispatch();
    } else {
      this.#waitingDispatches.push(dispatch);
    }
    return () => {
      exchange.abort();
    };
  }

  /**
   * Checks whether the backend server's process has exited, that is, whether
   * its address refuses connections. Requests that fail together share one
   * probe.
   */
  async confirmCrash(): Promise<boolean> {
    this.#crashProbe ??= this.#probe().finally(() => {
      this.#crashProbe = undefined;
    });
    return this.#crashProbe;
  }

  /** Closes every connection immediately. */
  close(): void {
    for (const client of this.#clients) {
      void client.destroy();
    }
  }

  /** Closes every connection after the requests in flight have ended. */
  drain(): void {
    // Admitted requests that wait for a connection count as in flight.
    for (const dispatch of this.#waitingDispatches.splice(0)) {
      dispatch();
    }
    this.#isDraining = true;
    for (const client of this.#clients) {
      void client.close();
    }
  }

  #createClient(): Client {
    this.#clientCount += 1;
    const connect = buildConnector({
      timeout: BACKEND_CONNECT_TIMEOUT_MILLISECONDS,
    });
    const client: Client = new Client(this.#origin, {
      bodyTimeout: NO_TIMEOUT_MILLISECONDS,
      connect: (options, callback) => {
        connect(options, (...[error, socket]) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          this.#resetClients.delete(client);
          socket.on('error', () => {
            this.#resetClients.add(client);
          });
          callback(null, socket);
        });
      },
      headersTimeout: NO_TIMEOUT_MILLISECONDS,
      pipelining: 1,
    });
    this.#clients.add(client);
    return client;
  }

  /**
   * Returns a client to the pool; it reconnects if its connection was closed.
   */
  #release(client: Client): void {
    if (this.#isDraining) {
      return;
    }
    this.#idleClients.push(client);
    this.#waitingDispatches.shift()?.();
  }

  async #probe(): Promise<boolean> {
    return new Promise<boolean>((resolve) => {
      const socket = connect(this.#address.port, this.#address.host);
      const finish = (isCrashed: boolean): void => {
        socket.destroy();
        resolve(isCrashed);
      };
      socket.setTimeout(CRASH_PROBE_TIMEOUT_MILLISECONDS, () => {
        finish(false);
      });
      socket.once('connect', () => {
        finish(false);
      });
      socket.once('error', () => {
        finish(true);
      });
    });
  }
}

function isPossiblyWritten(error: Error): boolean {
  const {code} = error as NodeJS.ErrnoException;
  return code === undefined || !NOT_DISPATCHED_CODES.has(code);
}

function flattenHeaders(
  headers: Record<string, string | string[] | undefined>,
): Header[] {
  const raw: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    const values = Array.isArray(value) ? value : [value ?? ''];
    for (const item of values) {
      raw.push(name, item);
    }
  }
  return selectAnswerHeaders(raw);
}
