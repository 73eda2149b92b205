/** Sends calls to other daemons over sessions, and to this daemon directly. */

import type {
  AttemptIdentifier,
  CallHead,
  IncomingCall,
  MessageSource,
  OutgoingCall,
  OutgoingCallHandlers,
  ResolutionHandlers,
  SessionPool,
} from 'jackdawcove-session';
import type {DaemonName, Teardown} from 'jackdawcove-shared';

import {mergeTeardowns} from 'jackdawcove-shared';

import {LocalCall} from './LocalCall.js';

/** Listener for calls to the local backend server. */
export type CallListener = (incoming: IncomingCall) => void;

/** Opens and accepts calls. */
export class CallTransport {
  readonly #self: MessageSource;
  readonly #sessions: SessionPool;
  #listener: CallListener | undefined;

  constructor(sessions: SessionPool, self: MessageSource) {
    this.#self = self;
    this.#sessions = sessions;
  }

  /** Opens a call to a daemon, which may be this one. */
  openCall(
    to: DaemonName,
    head: CallHead,
    handlers: OutgoingCallHandlers,
  ): OutgoingCall {
    if (to !== this.#self.daemon) {
      return this.#sessions.openCall(to, head, handlers);
    }
    const call = new LocalCall(head, this.#self, handlers);
    queueMicrotask(() => {
      this.#listener?.(call.incoming);
    });
    return call.outgoing;
  }

  /**
   * Asks another daemon for a lost attempt's outcome; local ones are never
   * lost.
   */
  resolveAttempt(
    to: DaemonName,
    attemptIdentifier: AttemptIdentifier,
    handlers: ResolutionHandlers,
  ): OutgoingCall {
    return this.#sessions.resolveAttempt(to, attemptIdentifier, handlers);
  }

  /** Registers the listener for incoming calls; there is only one. */
  registerCallListener(listener: CallListener): Teardown {
    this.#listener = listener;
    return mergeTeardowns(this.#sessions.registerCallListener(listener), () => {
      this.#listener = undefined;
    });
  }
}
