/** Public types of the session package. */

import type {
  AnswerEnd,
  AnswerHead,
  CallHead,
  CallRefusal,
} from './SessionSchemas.js';
import type {
  Address,
  DaemonName,
  Failure,
  Incarnation,
  MonotonicClock,
  RandomNumber,
  Teardown,
} from 'jackdawcove-shared';

/** Identifier of one attempt of a call, unique in the fleet. */
export type AttemptIdentifier = string;

/** Identifies one process of a daemon. */
export type DaemonIdentity = {
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
};

/**
 * Secrets that authenticate the daemons of a fleet. The current key signs; the
 * previous key is still accepted, so that keys can be rotated daemon by daemon.
 */
export type FleetKeys = {
  readonly current: string;
  readonly previous?: string | undefined;
};

/**
 * Why a call failed:
 * `notSent`: nothing was sent, so the call was not run;
 * `lost`: the session ended; `resolveAttempt` may find out the outcome;
 * `failed`: the other daemon reported a failure, or its answer arrived
 * incomplete or altered.
 */
export type CallFailureKind = 'failed' | 'lost' | 'notSent';

/** Failure of a call. */
export type CallFailure = {
  readonly failure: Failure;
  readonly kind: CallFailureKind;
  /** Retry tokens returned with the failure; a lost answer returns none. */
  readonly tokensReturned: number;
};

/** Caller callbacks; the last is `onEnd`, `onFailure` or `onRefused`. */
export type OutgoingCallHandlers = {
  /** Part of the answer; call `grantCredit` after consuming the bytes. */
  readonly onBody: (bytes: Uint8Array) => void;
  /** The complete answer arrived and matches its length and checksum. */
  readonly onEnd: (end: AnswerEnd) => void;
  readonly onFailure: (failure: CallFailure) => void;
  readonly onHead: (head: AnswerHead) => void;
  /** The call was refused before dispatch. */
  readonly onRefused: (refusal: CallRefusal) => void;
  /** `write` returned false and may be called again. */
  readonly onWritable?: (() => void) | undefined;
};

/** Caller side of a call. */
export type OutgoingCall = {
  readonly attemptIdentifier: AttemptIdentifier;
  /** Cancels the call; no handler is called afterwards. */
  cancel(): void;
  /** Ends the request body. */
  end(): void;
  /** Allows the other daemon to send this many more bytes of the answer. */
  grantCredit(byteCount: number): void;
  /** Sends part of the request body; after false, wait for `onWritable`. */
  write(bytes: Uint8Array): boolean;
};

/** Callbacks of the server side of a call. */
export type IncomingCallHandlers = {
  /** Part of the request; call `grantCredit` after consuming the bytes. */
  readonly onBody: (bytes: Uint8Array) => void;
  /** The caller cancelled, or its session was lost before the request ended. */
  readonly onCancel: (failure: Failure) => void;
  /** The complete request body arrived and matches its length and checksum. */
  readonly onEnd: () => void;
  /** `write` returned false and may be called again. */
  readonly onWritable?: (() => void) | undefined;
};

/** Data that the server side returns at the end of an answer. */
export type AnswerTrailer = {
  readonly load: unknown;
  readonly tokensReturned: number;
};

/** Server side of a call. */
export type IncomingCall = {
  readonly head: CallHead;
  readonly source: MessageSource;
  /** Starts delivery of events; events that arrived earlier come first. */
  accept(handlers: IncomingCallHandlers): void;
  /** Ends the answer. */
  end(trailer: AnswerTrailer): void;
  /** Ends the call with a failure, even if part of the answer was sent. */
  fail(failure: Failure, trailer?: AnswerTrailer): void;
  /** Allows the caller to send this many more bytes of the request. */
  grantCredit(byteCount: number): void;
  /** Refuses the call; only valid before dispatch. */
  refuse(
    failure: Failure,
    load: unknown,
    retryAfterMilliseconds: number,
    tokensReturned?: number,
  ): void;
  sendHead(head: AnswerHead): void;
  /** Sends part of the answer; after false, wait for `onWritable`. */
  write(bytes: Uint8Array): boolean;
};

/**
 * State of an attempt at the other daemon:
 * `neverSeen`: the attempt did not arrive; it is fenced, that is, refused if it
 * arrives later;
 * `running`: the answer follows when it is ready;
 * `done`: the held answer follows;
 * `unknown`: the attempt may have run.
 */
export type AttemptResolution = 'done' | 'neverSeen' | 'running' | 'unknown';

/**
 * Handlers of a resolution. After `running` and `done` the handlers of a call
 * are called; parts delivered before the session was lost are not repeated.
 */
export type ResolutionHandlers = OutgoingCallHandlers & {
  readonly onResolution: (resolution: AttemptResolution) => void;
};

/** Topic of a message; selects the listener that receives it. */
export type ChannelName = string;

/** Sender of a message, authenticated by the handshake of its session. */
export type MessageSource = {
  readonly address: Address;
  readonly daemon: DaemonName;
};

/** Listener for the messages of one channel. */
export type MessageListener = (message: unknown, source: MessageSource) => void;

/** Options of a packet. */
export type PacketOptions = {
  /** Process that the packet is for; by default whichever has the session. */
  readonly incarnation?: Incarnation | undefined;
  /** Kind for counting. */
  readonly kind?: string | undefined;
};

/** Callbacks of the owner of packets. */
export type PacketListener = {
  /** A session with a daemon opened; packets can be sent. */
  readonly onOpened: (daemon: DaemonName) => void;
  readonly onPacket: (bytes: Uint8Array, source: DaemonName) => void;
  /** Packets sent on the last session with a daemon may be lost. */
  readonly onLost: (daemon: DaemonName) => void;
};

/** Events that the pool reports for the timeline and the log. */
export type SessionEvent =
  | {
      readonly failure: Failure;
      readonly kind: 'datagramRejected';
      readonly source: Address;
    }
  | {
      readonly failure: Failure;
      readonly kind: 'sessionClosed';
      readonly peer: DaemonName | undefined;
    }
  | {
      readonly kind: 'connectFailed';
      readonly peer: DaemonName | undefined;
      readonly reason: string;
    }
  | {
      readonly kind: 'sessionOpened';
      readonly peer: DaemonName;
      readonly peerIncarnation: Incarnation;
    };

/** Counts and sizes of a pool. */
export type SessionStatistics = {
  readonly bufferedBytes: number;
  readonly bytesReceived: number;
  readonly bytesSent: number;
  readonly datagramsReceived: number;
  readonly datagramsRejected: number;
  readonly datagramsSent: number;
  readonly framesDropped: number;
  readonly framesReceived: number;
  readonly framesSent: number;
  readonly heldAnswers: number;
  readonly messagesDropped: number;
  readonly openCalls: number;
  readonly openSessions: number;
  readonly sessionsClosed: number;
  /** Bytes of the open sessions that the end of the process would discard. */
  readonly unwrittenBytes: number;
};

/** Options of a pool. */
export type SessionPoolOptions = {
  /** Address at which other daemons reach this one, if not the bound one. */
  readonly advertisedAddress?: Address | undefined;
  readonly clock: MonotonicClock;
  readonly fleetKeys: FleetKeys;
  readonly limits?: Partial<SessionLimits> | undefined;
  /** Address to listen on with TCP and UDP; port 0 selects a free port. */
  readonly listen: {readonly host: string; readonly port: number};
  readonly onEvent: (event: SessionEvent) => void;
  readonly randomNumber: RandomNumber;
  /** Calls a function at an interval; without it, the pool has its own timer. */
  readonly registerTicker?: RegisterTicker | undefined;
  readonly resolveAddress: (name: DaemonName) => Address | undefined;
  readonly self: DaemonIdentity;
  readonly switches?: Partial<SessionSwitches> | undefined;
};

/** Calls a function at an interval until the returned teardown is called. */
export type RegisterTicker = (
  intervalMilliseconds: number,
  onTick: () => void,
) => Teardown;

/** Limits of sessions; durations in milliseconds, sizes in bytes. */
export type SessionLimits = {
  readonly connectTimeoutMilliseconds: number;
  readonly heldAnswerBytes: number;
  readonly heldAnswerCount: number;
  readonly heldAnswerMilliseconds: number;
  readonly idleCloseMilliseconds: number;
  readonly keepaliveIntervalMilliseconds: number;
  readonly keepaliveTimeoutMilliseconds: number;
  readonly maximumCallsPerSession: number;
  readonly maximumFrameBytes: number;
  readonly maximumSessionBufferedBytes: number;
  readonly reconnectMaximumMilliseconds: number;
  readonly reconnectMinimumMilliseconds: number;
  readonly streamWindowBytes: number;
};

/** Checks that tests can disable to show that each one is necessary. */
export type SessionSwitches = {
  readonly checksBinding: boolean;
  readonly checksBodies: boolean;
  readonly checksKeepalive: boolean;
  readonly fencesAttempts: boolean;
};

/** Phase of a session. */
export type SessionPhase = 'closed' | 'handshake' | 'open';

/** Counts of one session. */
export type SessionCounts = {
  readonly bufferedBytes: number;
  readonly framesDropped: number;
  readonly framesReceived: number;
  readonly framesSent: number;
  readonly incomingCalls: number;
  readonly outgoingCalls: number;
};
