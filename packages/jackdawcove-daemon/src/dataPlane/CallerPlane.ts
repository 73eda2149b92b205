/** Connects the decisions of the caller side to HTTP requests and sessions. */

import type {DaemonHost} from '../DaemonHost.js';
import type {LedgerService} from '../ledger/LedgerService.js';
import type {SpreadSuspects} from '../quarantine/registerQuarantine.js';
import type {CallTransport} from '../transport/CallTransport.js';
import type {CallerExchange} from './CallerExchange.js';
import type {DaemonGuard} from './DaemonGuard.js';
import type {OpenAttempt, OpenCall} from './OpenCall.js';
import type {RequestBody} from './RequestBody.js';
import type {
  Attempt,
  CallerSide,
  CallerSideEffect,
  CallerSideInput,
  CallRequest,
  ResolvePolicy,
} from 'jackdawcove-call';
import type {
  AnswerHead,
  OutgoingCall,
  OutgoingCallHandlers,
  ResolutionHandlers,
} from 'jackdawcove-session';
import type {DaemonName} from 'jackdawcove-shared';

import {needsClaim} from 'jackdawcove-call';
import {RESULT_CODES} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {AnswerRecorder} from './AnswerRecorder.js';
import {createAttemptHandlers} from './createAttemptHandlers.js';
import {createCallHead} from './createCallHead.js';

/** Dependencies of the caller plane. */
export type CallerPlaneOptions = {
  readonly callerSide: CallerSide;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly ledger: LedgerService;
  readonly onCallOpened: () => void;
  readonly resolvePolicy: ResolvePolicy;
  readonly transport: CallTransport;
  readonly spreadSuspects: SpreadSuspects;
};

/** A request whose body was read up to the buffering limit. */
export type ReceivedRequest = {
  readonly body: RequestBody;
  readonly bodyBytes: Uint8Array | undefined;
  readonly exchange: CallerExchange;
  readonly request: CallRequest;
};

/** Runs the calls of callers and of the local backend server. */
export class CallerPlane {
  readonly #calls = new Map<string, OpenCall>();
  readonly #identifierPrefix: string;
  readonly #lostDaemons = new Set<DaemonName>();
  readonly #options: CallerPlaneOptions;
  #sequence = 0;

  constructor(options: CallerPlaneOptions) {
    const {incarnation, settings} = options.host;
    this.#options = options;
    this.#identifierPrefix = `${settings.daemon.name}.${incarnation.toString(36)}`;
  }

  /** Number of calls in flight. */
  getOpenCalls(): number {
    return this.#calls.size;
  }

  /** Starts a call. */
  begin(received: ReceivedRequest): void {
    const {guard, host, ledger, resolvePolicy} = this.#options;
    const {exchange} = received;
    const needsKey = needsClaim(resolvePolicy(received.request));
    const isMinting = needsKey && received.request.idempotencyKey === undefined;
    const request = isMinting
      ? this.#mintKey(received.request, exchange, ledger)
      : received.request;
    this.#sequence += 1;
    const identifier = `${this.#identifierPrefix}.${String(this.#sequence)}`;
    this.#calls.set(identifier, {
      attempts: new Map(),
      body: received.body,
      bodyBytes: received.bodyBytes,
      exchange,
      forwardedAttempt: undefined,
      identifier,
      recorder: needsKey ? new AnswerRecorder() : undefined,
      replayedAnswer: undefined,
      request,
      startedAt: host.clock(),
    });
    guard.openCall();
    this.#options.onCallOpened();
    exchange.onDisconnected(() => {
      this.#handleInput({
        callIdentifier: identifier,
        kind: 'callerDisconnected',
      });
    });
    exchange.onWritable(() => {
      this.#grantPendingCredit(identifier);
    });
    this.#handleInput({callIdentifier: identifier, kind: 'begin', request});
  }

  /** Handles a tick of the clock. */
  tick(): void {
    this.#handleInput({kind: 'tick'});
  }

  #mintKey(
    request: CallRequest,
    exchange: CallerExchange,
    ledger: LedgerService,
  ): CallRequest {
    const idempotencyKey = ledger.mintKey();
    exchange.setMintedKey(idempotencyKey);
    return {...request, idempotencyKey, isKeyMinted: true};
  }

  #handleInput(input: CallerSideInput): void {
    const {callerSide, host} = this.#options;
    for (const effect of callerSide.handle(input, host.clock())) {
      this.#execute(effect);
    }
  }

  #execute(effect: CallerSideEffect): void {
    if (effect.kind === 'spreadSuspects') {
      this.#options.spreadSuspects(effect.records);
      return;
    }
    const call = this.#calls.get(effect.callIdentifier);
    if (call === undefined) {
      return;
    }
    switch (effect.kind) {
      case 'cancelAttempt':
        call.attempts.get(effect.attemptIdentifier)?.stream?.cancel();
        call.attempts.delete(effect.attemptIdentifier);
        break;
      case 'claim':
        void this.#claim(call, effect.fingerprint, effect.idempotencyKey);
        break;
      case 'completeClaim':
        this.#completeClaim(call, effect.idempotencyKey, effect.outcome);
        break;
      case 'finish':
        this.#finish(call, effect);
        break;
      case 'forwardAnswer':
        this.#forward(call, effect.attemptIdentifier);
        break;
      case 'resolveAttempt':
        this.#resolve(call, effect.daemon, effect.query.attemptIdentifier);
        break;
      case 'sendAttempt':
        this.#send(call, effect.attempt, effect.daemon);
        break;
    }
  }

  async #claim(
    call: OpenCall,
    fingerprint: string,
    key: string,
  ): Promise<void> {
    const callIdentifier = call.identifier;
    const outcome = await this.#options.ledger.claim({fingerprint, key});
    match(outcome)
      .with({kind: 'granted'}, () => {
        this.#handleGrant(call, key);
      })
      .with({kind: 'answered'}, ({answer}) => {
        call.replayedAnswer = answer;
        this.#handleInput({callIdentifier, kind: 'claimAnswered'});
      })
      .with({kind: 'refused'}, ({failure}) => {
        const {result} = failure;
        this.#handleInput({callIdentifier, kind: 'claimRefused', result});
      })
      .exhaustive();
  }

  #handleGrant(call: OpenCall, key: string): void {
    if (!this.#calls.has(call.identifier)) {
      this.#options.ledger.complete(key, {kind: 'notRun'});
      return;
    }
    this.#handleInput({callIdentifier: call.identifier, kind: 'claimGranted'});
  }

  #completeClaim(
    call: OpenCall,
    key: string,
    outcome: 'notRun' | 'ran' | 'unknown',
  ): void {
    const {ledger} = this.#options;
    if (outcome !== 'ran') {
      ledger.complete(key, {kind: outcome});
      return;
    }
    const answer = call.recorder?.getAnswer();
    ledger.complete(
      key,
      answer === undefined ? {kind: 'answered'} : {answer, kind: 'answered'},
    );
  }

  #finish(
    call: OpenCall,
    finish: Extract<CallerSideEffect, {kind: 'finish'}>,
  ): void {
    const {guard, host} = this.#options;
    this.#calls.delete(call.identifier);
    call.body.release();
    guard.closeCall();
    this.#report(call, finish);
    if (call.replayedAnswer !== undefined) {
      call.exchange.replayAnswer(call.replayedAnswer);
    } else if (finish.isAnswerForwarded && finish.result === 'ok') {
      call.exchange.end();
    } else if (call.body.isEnded()) {
      call.exchange.answer(finish);
    } else {
      call.exchange.answerAndClose(finish);
    }
    host.metrics.timing('calls.duration', host.clock() - call.startedAt);
  }

  #report(
    call: OpenCall,
    finish: Extract<CallerSideEffect, {kind: 'finish'}>,
  ): void {
    const {log, metrics, recordEvent} = this.#options.host;
    metrics.increment(`calls.result.${finish.result}`);
    if (finish.result === 'ok') {
      return;
    }
    const fields = {
      attempts: finish.attempts,
      call: call.identifier,
      executed: finish.executed,
      result: RESULT_CODES[finish.result].number,
      service: call.request.service,
    };
    log.debug(fields, 'call failed');
    recordEvent('callFinished', fields);
  }

  #forward(call: OpenCall, attemptIdentifier: string): void {
    const attempt = call.attempts.get(attemptIdentifier);
    if (attempt?.answerHead === undefined) {
      return;
    }
    const {headers, status} = attempt.answerHead;
    call.forwardedAttempt = attempt;
    call.recorder?.recordHead(status, headers);
    call.exchange.writeHead(status, headers);
  }

  #send(call: OpenCall, attempt: Attempt, daemon: DaemonName): void {
    const open = this.#openAttempt(call, attempt.attemptIdentifier, daemon);
    const head = createCallHead(attempt, call.exchange.getForwardedHeaders());
    const stream = this.#options.transport.openCall(
      daemon,
      head,
      this.#createHandlers(call, open),
    );
    open.stream = stream;
    this.#sendBody(call, stream, open);
  }

  #sendBody(call: OpenCall, stream: OutgoingCall, open: OpenAttempt): void {
    const {bodyBytes} = call;
    if (bodyBytes === undefined) {
      call.body.stream(
        {
          end: () => {
            stream.end();
          },
          write: (bytes) => stream.write(bytes),
        },
        () => {
          this.#handleInput({
            callIdentifier: call.identifier,
            kind: 'callerDisconnected',
          });
        },
      );
      return;
    }
    if (bodyBytes.length > 0) {
      stream.write(bodyBytes);
    }
    if (call.attempts.has(open.identifier)) {
      stream.end();
    }
  }

  #resolve(call: OpenCall, daemon: DaemonName, identifier: string): void {
    const open = this.#openAttempt(call, identifier, daemon);
    const handlers: ResolutionHandlers = {
      ...this.#createHandlers(call, open),
      onResolution: (resolution) => {
        const answer = {attemptIdentifier: identifier, resolution};
        this.#handleInput({answer, kind: 'resolved'});
      },
    };
    open.stream = this.#options.transport.resolveAttempt(
      daemon,
      identifier,
      handlers,
    );
  }

  #openAttempt(
    call: OpenCall,
    identifier: string,
    daemon: DaemonName,
  ): OpenAttempt {
    const existing = call.attempts.get(identifier);
    if (existing !== undefined) {
      return existing;
    }
    const attempt: OpenAttempt = {
      answerHead: undefined,
      daemon,
      identifier,
      pendingCreditBytes: 0,
      stream: undefined,
    };
    call.attempts.set(identifier, attempt);
    return attempt;
  }

  #createHandlers(call: OpenCall, open: OpenAttempt): OutgoingCallHandlers {
    return createAttemptHandlers({
      attemptIdentifier: open.identifier,
      handleInput: (input) => {
        this.#handleInput(input);
      },
      onBody: (bytes) => {
        this.#handleBody(call, open, bytes);
      },
      onHead: (head: AnswerHead) => {
        open.answerHead = head;
      },
      onSessionLost: () => {
        this.#reportLostSession(open.daemon);
      },
      onWritable: () => {
        call.body.resume();
      },
    });
  }

  #handleBody(call: OpenCall, open: OpenAttempt, bytes: Uint8Array): void {
    if (call.forwardedAttempt !== open) {
      return;
    }
    call.recorder?.recordBody(bytes);
    if (call.exchange.write(bytes)) {
      open.stream?.grantCredit(bytes.length);
      return;
    }
    open.pendingCreditBytes += bytes.length;
  }

  #grantPendingCredit(identifier: string): void {
    const attempt = this.#calls.get(identifier)?.forwardedAttempt;
    if (attempt !== undefined && attempt.pendingCreditBytes > 0) {
      attempt.stream?.grantCredit(attempt.pendingCreditBytes);
      attempt.pendingCreditBytes = 0;
    }
  }

  #reportLostSession(daemon: DaemonName): void {
    if (this.#lostDaemons.has(daemon)) {
      return;
    }
    this.#lostDaemons.add(daemon);
    queueMicrotask(() => {
      this.#lostDaemons.delete(daemon);
      this.#handleInput({daemon, kind: 'sessionLost'});
    });
  }
}
