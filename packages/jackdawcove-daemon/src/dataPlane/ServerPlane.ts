/**
 * Connects the decisions of the server side to sessions and the backend server.
 */

import type {DaemonHost} from '../DaemonHost.js';
import type {BackendDialect} from '../embedding/EmbeddingTypes.js';
import type {
  LocalBackendServer,
  MembershipService,
} from '../membership/MembershipService.js';
import type {SpreadSuspects} from '../quarantine/registerQuarantine.js';
import type {CallTransport} from '../transport/CallTransport.js';
import type {AbortRequest, BackendHandlers} from './BackendClient.js';
import type {
  Attempt,
  ServerSide,
  ServerSideEffect,
  ServerSideInput,
} from 'jackdawcove-call';
import type {Header, IncomingCall} from 'jackdawcove-session';
import type {Teardown} from 'jackdawcove-shared';

import {createFailure, formatAddress, RESULT_CODES} from 'jackdawcove-shared';

import {BackendClient} from './BackendClient.js';
import {readAttempt} from './createCallHead.js';
import {IncomingBody} from './IncomingBody.js';
import {ServerEventRecorder} from './ServerEventRecorder.js';

/** Dependencies of the server plane. */
export type ServerPlaneOptions = {
  readonly backendDialect: BackendDialect;
  readonly host: DaemonHost;
  readonly membership: MembershipService;
  readonly onCallOpened: () => void;
  readonly serverSide: ServerSide;
  readonly transport: CallTransport;
  readonly spreadSuspects: SpreadSuspects;
};

type ServedAttempt = {
  abort: AbortRequest | undefined;
  readonly body: IncomingBody;
  readonly incoming: IncomingCall;
  isAborted: boolean;
  resume: (() => void) | undefined;
};

/** Serves the attempts that other daemons send to the local backend server. */
export class ServerPlane {
  readonly #attempts = new Map<string, ServedAttempt>();
  readonly #events: ServerEventRecorder;
  readonly #options: ServerPlaneOptions;
  #backend: LocalBackendServer | undefined;
  #client: BackendClient | undefined;
  /**
   * Time of the last crash; unset when the backend server announces itself
   * again.
   */
  #crashedAt: number | undefined;

  constructor(options: ServerPlaneOptions) {
    this.#events = new ServerEventRecorder(options.host.recordEvent);
    this.#options = options;
  }

  /** Number of attempts in flight. */
  getOpenAttempts(): number {
    return this.#attempts.size;
  }

  /** Accepts calls from the transport until the teardown. */
  register(): Teardown {
    return this.#options.transport.registerCallListener((incoming) => {
      this.#acceptCall(incoming);
    });
  }

  /** Handles a tick of the clock. */
  tick(): void {
    this.#handleInput({kind: 'tick'});
    this.#events.recordLoad(this.#options.serverSide.getStatus());
  }

  /** Refuses new attempts; those in flight finish. */
  drain(): void {
    this.#handleInput({kind: 'drain'});
  }

  /** Applies the current announcement of the local backend server. */
  refreshBackendServer(): void {
    const backend = this.#options.membership.getLocalBackendServer();
    if (backend === undefined) {
      this.#removeBackendServer();
      return;
    }
    const isReannounced =
      this.#crashedAt !== undefined && backend.renewedAt > this.#crashedAt;
    if (!isReannounced && isUnchanged(backend, this.#backend)) {
      return;
    }
    this.#crashedAt = undefined;
    if (!isSameProcess(backend, this.#backend)) {
      this.#client?.close();
      this.#client = new BackendClient(backend.address, backend.connections);
    }
    this.#backend = backend;
    this.#events.recordAnnounced(backend);
    const {connections, incarnation, instance, service, slots} = backend;
    this.#handleInput({
      instance: {connections, incarnation, instance, service, slots},
      kind: 'announced',
    });
    if (backend.state === 'draining') {
      this.drain();
    }
  }

  /** Closes the connections to the backend server. */
  close(): void {
    this.#client?.close();
  }

  #removeBackendServer(): void {
    if (this.#backend === undefined) {
      return;
    }
    this.#events.recordWithdrawn(this.#backend);
    this.#backend = undefined;
    // A withdrawn backend server finishes the requests that it is running.
    this.#client?.drain();
    this.#client = undefined;
    this.#handleInput({kind: 'withdrawn'});
  }

  #handleInput(input: ServerSideInput): void {
    const {host, serverSide} = this.#options;
    for (const effect of serverSide.handle(input, host.clock())) {
      this.#execute(effect);
    }
  }

  #acceptCall(incoming: IncomingCall): void {
    const {attemptIdentifier} = incoming.head;
    const attempt = readAttempt(incoming.head);
    if (attempt === undefined) {
      incoming.refuse(createFailure('frameMalformed'), undefined, 0);
      return;
    }
    const body = new IncomingBody((byteCount) => {
      incoming.grantCredit(byteCount);
    });
    const served: ServedAttempt = {
      abort: undefined,
      body,
      incoming,
      isAborted: false,
      resume: undefined,
    };
    this.#attempts.set(attemptIdentifier, served);
    this.#options.onCallOpened();
    incoming.accept({
      onBody: (bytes) => {
        body.push(bytes);
      },
      onCancel: () => {
        body.abort();
        this.#handleInput({attemptIdentifier, kind: 'attemptCancelled'});
      },
      onEnd: () => {
        body.end();
      },
      onWritable: () => {
        served.resume?.();
      },
    });
    this.#handleInput({
      attempt,
      callerDaemon: incoming.source.daemon,
      kind: 'arrive',
    });
  }

  #execute(effect: ServerSideEffect): void {
    switch (effect.kind) {
      case 'abort':
        this.#abort(effect.attemptIdentifier);
        break;
      case 'answerResolution':
        break;
      case 'dispatch':
        this.#dispatch(effect);
        break;
      case 'endAnswer':
        this.#endAnswer(effect.end);
        break;
      case 'refuse':
        this.#refuse(effect.refusal);
        break;
      case 'spreadSuspects':
        this.#options.spreadSuspects(effect.records);
        break;
    }
  }

  #abort(attemptIdentifier: string): void {
    const served = this.#attempts.get(attemptIdentifier);
    if (served !== undefined) {
      served.isAborted = true;
      served.abort?.();
    }
  }

  #dispatch(dispatch: Extract<ServerSideEffect, {kind: 'dispatch'}>): void {
    const {attempt} = dispatch;
    const {attemptIdentifier} = attempt;
    const served = this.#attempts.get(attemptIdentifier);
    const client = this.#client;
    const backend = this.#backend;
    if (served === undefined) {
      return;
    }
    if (client === undefined || backend === undefined) {
      queueMicrotask(() => {
        this.#handleInput({
          attemptIdentifier,
          isDispatched: false,
          kind: 'backendFailed',
        });
      });
      return;
    }
    const headers = this.#options.backendDialect.createRequestHeaders({
      address: backend.address,
      dispatch,
      headers: served.incoming.head.headers,
    });
    served.abort = client.send(
      {
        body: served.body.open(),
        headers,
        method: attempt.method,
        path: attempt.path,
      },
      this.#createHandlers(attempt, served, client, headers),
    );
  }

  #createHandlers(
    {attemptIdentifier}: Attempt,
    served: ServedAttempt,
    client: BackendClient,
    requestHeaders: readonly Header[],
  ): BackendHandlers {
    const {incoming} = served;
    return {
      classifyAnswer: (answer) =>
        this.#options.backendDialect.classifyAnswer(requestHeaders, answer),
      onBody: (bytes) => incoming.write(bytes),
      onEnd: () => {
        this.#handleInput({attemptIdentifier, kind: 'backendAnswered'});
      },
      onFailure: (isDispatched, isRefused = false) => {
        if (isRefused) {
          this.#handleInput({
            attemptIdentifier,
            isDispatched,
            isRefused,
            kind: 'backendFailed',
          });
          return;
        }
        void this.#handleBackendFailure(
          attemptIdentifier,
          isDispatched,
          client,
        );
      },
      onHead: (status, headers, resume) => {
        served.resume = resume;
        incoming.sendHead({
          executed: RESULT_CODES.ok.executed,
          headers: [...headers],
          load: this.#options.serverSide.getStatus().load,
          resultNumber: RESULT_CODES.ok.number,
          status,
        });
      },
    };
  }

  async #handleBackendFailure(
    attemptIdentifier: string,
    isDispatched: boolean,
    client: BackendClient,
  ): Promise<void> {
    const isAborted = this.#attempts.get(attemptIdentifier)?.isAborted;
    const isCrashed = isAborted !== true && (await client.confirmCrash());
    if (isCrashed && client === this.#client) {
      const status = this.#options.serverSide.getStatus();
      this.#events.recordCrashed(this.#backend, status);
      this.#crashedAt = this.#options.host.clock();
      this.#handleInput({kind: 'backendCrashed'});
    }
    if (this.#attempts.has(attemptIdentifier)) {
      this.#handleInput({
        attemptIdentifier,
        isDispatched,
        kind: 'backendFailed',
      });
    }
  }

  #endAnswer(end: Extract<ServerSideEffect, {kind: 'endAnswer'}>['end']): void {
    const {attemptIdentifier, load, result, tokensReturned} = end;
    const served = this.#attempts.get(attemptIdentifier);
    if (served === undefined) {
      return;
    }
    this.#attempts.delete(attemptIdentifier);
    if (result === 'ok') {
      served.incoming.end({load, tokensReturned});
      return;
    }
    served.incoming.fail(createFailure(result), {load, tokensReturned});
  }

  #refuse(
    refusal: Extract<ServerSideEffect, {kind: 'refuse'}>['refusal'],
  ): void {
    const {attemptIdentifier, load, result} = refusal;
    const served = this.#attempts.get(attemptIdentifier);
    if (served === undefined) {
      return;
    }
    this.#attempts.delete(attemptIdentifier);
    this.#options.host.metrics.increment(`attempts.refused.${result}`);
    served.incoming.refuse(
      createFailure(result),
      load,
      refusal.retryAfterMilliseconds,
      refusal.tokensReturned,
    );
  }
}

function isUnchanged(
  left: LocalBackendServer,
  right: LocalBackendServer | undefined,
): boolean {
  return (
    right !== undefined &&
    isSameProcess(left, right) &&
    left.slots === right.slots &&
    left.state === right.state
  );
}

function isSameProcess(
  left: LocalBackendServer,
  right: LocalBackendServer | undefined,
): boolean {
  return (
    right !== undefined &&
    left.incarnation === right.incarnation &&
    formatAddress(left.address) === formatAddress(right.address) &&
    left.connections === right.connections
  );
}
