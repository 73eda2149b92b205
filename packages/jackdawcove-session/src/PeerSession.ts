/** State of one peer: at most one session, and the calls and messages waiting for it. */

import type {
  OutgoingCallRecord,
  OutgoingOperation,
} from './OutgoingCallRecord.js';
import type {SessionLink} from './SessionLink.js';
import type {ChannelName, SessionLimits} from './SessionTypes.js';
import type {
  Failure,
  Incarnation,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

import {isCallHead} from './FrameChecks.js';
import {
  MAXIMUM_WAITING_CALLS,
  MAXIMUM_WAITING_MESSAGES,
} from './SessionConstants.js';

/** Options of a peer. */
export type PeerSessionOptions = {
  /** Starts to connect, or returns why this is not possible. */
  readonly connect: () => Failure | SessionLink;
  readonly limits: SessionLimits;
  readonly onMessageDropped: () => void;
  readonly randomNumber: RandomNumber;
};

type WaitingMessage = {
  readonly channel: ChannelName;
  readonly message: unknown;
};

const MAXIMUM_BACKOFF_DOUBLINGS = 8;

/** Opens, replaces and retires the session with one other daemon. */
export class PeerSession {
  #backoffUntil: Milliseconds = Number.NEGATIVE_INFINITY;
  #connecting: SessionLink | undefined;
  #failureCount = 0;
  #link: SessionLink | undefined;
  readonly #options: PeerSessionOptions;
  #isSuperseded = false;
  #supersededUntil: Milliseconds = 0;
  #waitingCalls: OutgoingCallRecord[] = [];
  #waitingMessages: WaitingMessage[] = [];

  constructor(options: PeerSessionOptions) {
    this.#options = options;
  }

  /** Returns the open session. */
  getLink(): SessionLink | undefined {
    return this.#link;
  }

  /** Returns whether this daemon is connecting to the peer. */
  isConnecting(): boolean {
    return this.#connecting !== undefined;
  }

  /** Returns whether this session is the one being opened. */
  isOpening(link: SessionLink): boolean {
    return this.#connecting === link;
  }

  /** Returns whether the peer has no session, waiting call or recent backoff. */
  isIdle(now: Milliseconds): boolean {
    return (
      this.#link === undefined &&
      this.#connecting === undefined &&
      this.#waitingCalls.length === 0 &&
      now >=
        this.#backoffUntil + this.#options.limits.reconnectMaximumMilliseconds
    );
  }

  /** Uses an established session and closes the previous one. */
  handleEstablished(link: SessionLink): void {
    const replaced = [this.#link, this.#connecting];
    this.#connecting = undefined;
    this.#failureCount = 0;
    this.#link = link;
    this.#isSuperseded = false;
    for (const other of replaced) {
      if (other !== undefined && other !== link) {
        other.close(createFailure('sessionSuperseded'));
      }
    }
    this.#sendWaiting(link);
  }

  /** Stops using a session for new calls. */
  retire(link: SessionLink): void {
    if (this.#link === link) {
      this.#link = undefined;
    }
  }

  /** Handles the closing of a session of this peer. */
  handleClosed(link: SessionLink, failure: Failure, now: Milliseconds): void {
    if (link === this.#link) {
      this.#link = undefined;
    }
    if (link !== this.#connecting) {
      return;
    }
    this.#connecting = undefined;
    if (failure.result === 'sessionSuperseded') {
      this.#isSuperseded = true;
      this.#supersededUntil =
        now + this.#options.limits.connectTimeoutMilliseconds;
      return;
    }
    const isSessionClosed = failure.result === 'sessionClosed';
    this.#startBackoff(
      isSessionClosed
        ? createFailure('daemonUnreachable', failure.detail)
        : failure,
      now,
    );
  }

  /** Moves waiting calls and messages to a session owned by another peer. */
  moveWaitingTo(link: SessionLink): void {
    const connecting = this.#connecting;
    this.#connecting = undefined;
    if (connecting !== undefined && connecting !== link) {
      connecting.close(createFailure('sessionSuperseded'));
    }
    this.#sendWaiting(link);
  }

  /** Opens a call now or once a session is open. */
  openCall(record: OutgoingCallRecord, now: Milliseconds): void {
    if (this.#link !== undefined) {
      this.#openOn(this.#link, record);
      return;
    }
    const isResolution = record.operation.kind === 'resolve';
    const failure = this.#connect(now);
    if (this.#waitingCalls.length >= MAXIMUM_WAITING_CALLS) {
      failInMicrotask(record, createFailure('tooManyOpenCalls'));
    } else if (failure === undefined || isResolution) {
      this.#waitingCalls.push(record);
    } else {
      failInMicrotask(record, failure);
    }
  }

  /**
   * Sends a packet on the open session; otherwise connects and returns false. Also
   * returns false if the session is with another process than the packet is for.
   */
  sendPacket(
    bytes: Uint8Array,
    now: Milliseconds,
    incarnation?: Incarnation,
  ): boolean {
    if (this.#link !== undefined) {
      const receiver = this.#link.core.getPeer()?.incarnation;
      return (
        (incarnation ?? receiver) === receiver && this.#link.sendPacket(bytes)
      );
    }
    this.#connect(now);
    return false;
  }

  /** Sends a message now or once a session is open. */
  sendMessage(channel: ChannelName, message: unknown, now: Milliseconds): void {
    if (this.#link !== undefined) {
      if (!this.#link.sendMessage(channel, message)) {
        this.#options.onMessageDropped();
      }
      return;
    }
    const failure = this.#connect(now);
    const isFull = this.#waitingMessages.length >= MAXIMUM_WAITING_MESSAGES;
    if (failure !== undefined || isFull) {
      this.#options.onMessageDropped();
    } else {
      this.#waitingMessages.push({channel, message});
    }
  }

  /** Closes the sessions and fails the waiting calls. */
  stop(failure: Failure): void {
    this.#connecting?.close(failure);
    this.#link?.close(failure);
    this.#failWaiting(failure);
  }

  /** Advances time. */
  tick(now: Milliseconds): void {
    if (this.#isSuperseded && now >= this.#supersededUntil) {
      this.#isSuperseded = false;
      this.#startBackoff(createFailure('daemonUnreachable', 'superseded'), now);
    }
    if (this.#waitingCalls.length > 0) {
      this.#expireWaiting(now);
    }
    if (this.#waitingCalls.length > 0) {
      this.#connect(now);
    }
  }

  #connect(now: Milliseconds): Failure | undefined {
    if (this.#connecting !== undefined || this.#isSuperseded) {
      return undefined;
    }
    if (now < this.#backoffUntil) {
      return createFailure('daemonUnreachable', 'back-off');
    }
    const connected = this.#options.connect();
    if ('result' in connected) {
      return connected;
    }
    this.#connecting = connected;
    return undefined;
  }

  #expireWaiting(now: Milliseconds): void {
    const expired = this.#waitingCalls.filter(
      (record) => record.isFinished() || now >= record.expiresAt,
    );
    if (expired.length === 0) {
      return;
    }
    const expiredRecords = new Set(expired);
    this.#waitingCalls = this.#waitingCalls.filter(
      (record) => !expiredRecords.has(record),
    );
    for (const record of expired) {
      record.fail(createFailure('deadlineExceededBeforeDispatch'), 'notSent');
    }
  }

  #failWaiting(failure: Failure): void {
    const calls = this.#waitingCalls;
    this.#waitingCalls = [];
    for (const record of calls) {
      record.fail(failure, 'notSent');
    }
  }

  #startBackoff(failure: Failure, now: Milliseconds): void {
    const {reconnectMaximumMilliseconds, reconnectMinimumMilliseconds} =
      this.#options.limits;
    const doublings = Math.min(this.#failureCount, MAXIMUM_BACKOFF_DOUBLINGS);
    const maximumDelay = Math.min(
      reconnectMaximumMilliseconds,
      reconnectMinimumMilliseconds * 2 ** doublings,
    );
    const jitter = (1 + this.#options.randomNumber()) / 2;
    this.#backoffUntil = now + maximumDelay * jitter;
    this.#failureCount += 1;
    this.#waitingMessages.forEach(this.#options.onMessageDropped);
    this.#waitingMessages = [];
    this.#failCallsExceptResolutions(failure);
  }

  #failCallsExceptResolutions(failure: Failure): void {
    const isResolution = (record: OutgoingCallRecord) =>
      record.operation.kind === 'resolve';
    const calls = this.#waitingCalls.filter((record) => !isResolution(record));
    this.#waitingCalls = this.#waitingCalls.filter(isResolution);
    for (const record of calls) {
      record.fail(failure, 'notSent');
    }
  }

  #openOn(link: SessionLink, record: OutgoingCallRecord): void {
    const refusal =
      link.core.getCallRefusal() ?? checkOperation(record.operation);
    if (refusal === undefined) {
      link.open(record);
    } else {
      failInMicrotask(record, refusal);
    }
  }

  #sendWaiting(link: SessionLink): void {
    const calls = this.#waitingCalls;
    const messages = this.#waitingMessages;
    this.#waitingCalls = [];
    this.#waitingMessages = [];
    for (const {channel, message} of messages) {
      if (!link.sendMessage(channel, message)) {
        this.#options.onMessageDropped();
      }
    }
    for (const record of calls.filter((call) => !call.isFinished())) {
      this.#openOn(link, record);
    }
  }
}

/** Fails a call in a microtask, after its owner has received the record. */
function failInMicrotask(record: OutgoingCallRecord, failure: Failure): void {
  queueMicrotask(() => {
    record.fail(failure, 'notSent');
  });
}

/** Returns why a call must not be sent: the peer would reject its head. */
function checkOperation(operation: OutgoingOperation): Failure | undefined {
  return operation.kind === 'call' && !isCallHead(operation.head)
    ? createFailure('frameMalformed', 'head of a call')
    : undefined;
}
