/** HTTP client of the local backend server. */

import type {BackendVerdict} from '../embedding/EmbeddingTypes.js';
import type {Header} from 'jackdawcove-session';
import type {Address} from 'jackdawcove-shared';
import type {Dispatcher} from 'undici';

import {connect} from 'node:net';

import {formatAddress} from 'jackdawcove-shared';
import {Pool} from 'undici';

import {CRASH_PROBE_TIMEOUT_MILLISECONDS} from './DataPlaneConstants.js';
import {selectAnswerHeaders} from './HttpHeaders.js';

const NOT_DISPATCHED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
type DispatchBody = NonNullable<Dispatcher.DispatchOptions['body']> | null;

const FIRST_FINAL_STATUS = 200;
const BODY_IDLE_TIMEOUT_MILLISECONDS = 0;

/** One request to the backend server. */
export type BackendRequest = {
  readonly body: AsyncIterable<Uint8Array> | Uint8Array | undefined;
  readonly headers: readonly Header[];
  readonly method: string;
  readonly path: string;
};

/** What the sender of a request to the backend server is told. */
export type BackendHandlers = {
  /** Says what the head of an answer means, before it is handed on. */
  readonly judge: (
    status: number,
    headers: readonly Header[],
  ) => BackendVerdict;
  /** Part of the answer; false pauses until `resume` is called. */
  readonly onBody: (bytes: Buffer) => boolean;
  readonly onEnd: () => void;
  /** `isDispatched` is false only when no byte of the request was written. */
  readonly onFailure: (isDispatched: boolean) => void;
  readonly onHead: (
    status: number,
    headers: readonly Header[],
    resume: () => void,
  ) => void;
};

/** Aborts a request to the backend server. */
export type AbortRequest = () => void;

/** One request and its answer. */
class BackendExchange {
  #controller: Dispatcher.DispatchController | undefined;
  readonly #handlers: BackendHandlers;
  #isAborted = false;
  #isEnded = false;
  #isNotRun = false;

  constructor(handlers: BackendHandlers) {
    this.#handlers = handlers;
  }

  abort(): void {
    this.#isAborted = true;
    if (this.#controller === undefined) {
      this.#fail(new Error('aborted before a connection was free'));
      return;
    }
    this.#controller.abort(new Error('aborted'));
  }

  createHandler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.#controller = controller;
        if (this.#isAborted) {
          controller.abort(new Error('aborted'));
        }
      },
      onResponseData: (controller, chunk) => {
        if (!this.#isNotRun && !this.#handlers.onBody(chunk)) {
          controller.pause();
        }
      },
      onResponseEnd: () => {
        if (!this.#isEnded) {
          this.#isEnded = true;
          this.#reportEnd();
        }
      },
      onResponseError: (_controller, error) => {
        this.#fail(error);
      },
      onResponseStart: (controller, status, headers) => {
        if (status >= FIRST_FINAL_STATUS) {
          this.#takeHead(controller, status, flattenHeaders(headers));
        }
      },
    };
  }

  #takeHead(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: readonly Header[],
  ): void {
    const verdict = this.#handlers.judge(status, headers);
    if (verdict === 'foreign') {
      controller.abort(new Error('the answer belongs to another request'));
      return;
    }
    if (verdict === 'notRun') {
      // The rest is read so that the connection can be used again.
      this.#isNotRun = true;
      return;
    }
    this.#handlers.onHead(status, headers, () => {
      controller.resume();
    });
  }

  #reportEnd(): void {
    if (this.#isNotRun) {
      this.#handlers.onFailure(false);
      return;
    }
    this.#handlers.onEnd();
  }

  #fail(error: Error): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    const wasStarted = this.#controller !== undefined;
    const isDispatched =
      !this.#isNotRun &&
      (wasStarted || (!this.#isAborted && isPossiblyWritten(error)));
    this.#handlers.onFailure(isDispatched);
  }
}

/** Sends requests to one backend server over a bounded number of connections. */
export class BackendClient {
  readonly #address: Address;
  readonly #pool: Pool;
  #crashProbe: Promise<boolean> | undefined;

  constructor(address: Address, connections: number) {
    this.#address = address;
    this.#pool = new Pool(`http://${formatAddress(address)}`, {
      bodyTimeout: BODY_IDLE_TIMEOUT_MILLISECONDS,
      connections,
      headersTimeout: BODY_IDLE_TIMEOUT_MILLISECONDS,
      pipelining: 1,
    });
  }

  /**
   * Sends a request. Exactly one of `onEnd` and `onFailure` is called, also
   * after an abort.
   */
  send(request: BackendRequest, handlers: BackendHandlers): AbortRequest {
    const exchange = new BackendExchange(handlers);
    this.#pool.dispatch(
      {
        body: (request.body ?? null) as DispatchBody,
        headers: request.headers.flat(),
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
      },
      exchange.createHandler(),
    );
    return () => {
      exchange.abort();
    };
  }

  /**
   * Checks whether the process of the backend server is gone: its address
   * refuses connections. One probe serves all requests that fail together.
   */
  async confirmCrash(): Promise<boolean> {
    this.#crashProbe ??= this.#probe().finally(() => {
      this.#crashProbe = undefined;
    });
    return this.#crashProbe;
  }

  /** Closes every connection at once. */
  close(): void {
    void this.#pool.destroy();
  }

  /** Closes every connection once the requests under way have ended. */
  retire(): void {
    void this.#pool.close();
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
    for (const one of values) {
      raw.push(name, one);
    }
  }
  return selectAnswerHeaders(raw);
}
