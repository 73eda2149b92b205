/** Sessions of one daemon with all others. */

import type {CallHead} from './SessionSchemas.js';
import type {
  AttemptIdentifier,
  ChannelName,
  IncomingCall,
  MessageListener,
  OutgoingCall,
  OutgoingCallHandlers,
  ResolutionHandlers,
  SessionPoolOptions,
  SessionStatistics,
} from './SessionTypes.js';
import type {Address, DaemonName, Teardown} from 'jackdawcove-shared';

function notImplemented(...inputs: readonly unknown[]): never {
  throw new Error(`Not implemented: ${String(inputs.length)}`);
}

/**
 * Keeps at most one session per pair of daemons.
 *
 * @example
 * const pool = new SessionPool({clock, fleetKeys, listen, onEvent, randomNumber, resolveAddress, self});
 * const address = await pool.start();
 */
export class SessionPool {
  readonly #options: SessionPoolOptions;

  constructor(options: SessionPoolOptions) {
    this.#options = options;
  }

  /** Listens on TCP and UDP and returns the bound address. */
  start(): Promise<Address> {
    return notImplemented(this.#options);
  }

  /** Closes every session and listener. */
  stop(): Promise<void> {
    return notImplemented();
  }

  /** Opens a call; connects first when there is no session. */
  openCall(
    to: DaemonName,
    head: CallHead,
    handlers: OutgoingCallHandlers,
  ): OutgoingCall {
    return notImplemented(to, head, handlers);
  }

  /** Asks what became of a lost attempt, on a new session. */
  resolveAttempt(
    to: DaemonName,
    attemptIdentifier: AttemptIdentifier,
    handlers: ResolutionHandlers,
  ): OutgoingCall {
    return notImplemented(to, attemptIdentifier, handlers);
  }

  /** Registers the only listener for calls of other daemons. */
  registerCallListener(listener: (incoming: IncomingCall) => void): Teardown {
    return notImplemented(listener);
  }

  /** Registers the only listener for the messages of a channel. */
  registerListener(channel: ChannelName, listener: MessageListener): Teardown {
    return notImplemented(channel, listener);
  }

  /** Sends a message; it may be lost, never altered. */
  send(to: Address | DaemonName, channel: ChannelName, message: unknown): void {
    return notImplemented(to, channel, message);
  }

  /** Sends a message as one authenticated datagram of at most 1,400 bytes. */
  sendDatagram(
    address: Address,
    channel: ChannelName,
    message: unknown,
  ): boolean {
    return notImplemented(address, channel, message);
  }

  /** Returns counts and sizes. */
  getStatistics(): SessionStatistics {
    return notImplemented();
  }
}
