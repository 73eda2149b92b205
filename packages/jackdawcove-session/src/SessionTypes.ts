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
} from 'jackdawcove-shared';

/** Identifier of one attempt of a call, unique in the fleet. */
export type AttemptIdentifier = string;

/** Identifies one process of a daemon. */
export type DaemonIdentity = {
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
};

/**
 * Secrets that prove membership in the fleet. The current key signs; the
 * previous key is still accepted, so that a key can be replaced daemon by daemon.
 */
export type FleetKeys = {
  readonly current: string;
  readonly previous?: string | undefined;
};

/**
 * Why a call failed:
 * `notSent`: nothing of it left this daemon, so it was not run;
 * `lost`: its session ended, `resolveAttempt` may tell its outcome;
 * `failed`: the other daemon reported the failure, or its answer was cut.
 */
export type CallFailureKind = 'failed' | 'lost' | 'notSent';

/** Failure of a call. */
export type CallFailure = {
  readonly failure: Failure;
  readonly kind: CallFailureKind;
  /** Tokens that come back with the failure; lost answers lose theirs. */
  readonly tokensReturned: number;
};

/** What the caller's side of a call is told; one of the last three ends it. */
export type OutgoingCallHandlers = {
  /** Part of the answer; call `grantCredit` once the bytes are consumed. */
  readonly onBody: (bytes: Uint8Array) => void;
  /** The whole answer arrived and matches its length and check value. */
  readonly onEnd: (end: AnswerEnd) => void;
  readonly onFailure: (failure: CallFailure) => void;
  readonly onHead: (head: AnswerHead) => void;
  /** The call was refused before its dispatch. */
  readonly onRefused: (refusal: CallRefusal) => void;
  /** `write` returned false and may be called again. */
  readonly onWritable?: (() => void) | undefined;
};

/** Caller's side of a call. */
export type OutgoingCall = {
  readonly attemptIdentifier: AttemptIdentifier;
  /** Cancels the call; no handler is called afterwards. */
  cancel(): void;
  /** Ends the request body. */
  end(): void;
  /** Lets the other daemon send as many more bytes of the answer. */
  grantCredit(byteCount: number): void;
  /** Sends part of the request body; false asks to wait for `onWritable`. */
  write(bytes: Uint8Array): boolean;
};

/** What the server's side of a call is told. */
export type IncomingCallHandlers = {
  /** Part of the request; call `grantCredit` once the bytes are consumed. */
  readonly onBody: (bytes: Uint8Array) => void;
  /** The caller cancelled, or its request body was cut by a lost session. */
  readonly onCancel: (failure: Failure) => void;
  /** The whole request body arrived and matches its length and check value. */
  readonly onEnd: () => void;
  /** `write` returned false and may be called again. */
  readonly onWritable?: (() => void) | undefined;
};

/** What an answer returns to the caller's side at its end. */
export type AnswerTrailer = {
  readonly load: unknown;
  readonly tokensReturned: number;
};

/** Server's side of a call. */
export type IncomingCall = {
  readonly head: CallHead;
  readonly source: MessageSource;
  /** Starts the events of the call; what arrived before is delivered first. */
  accept(handlers: IncomingCallHandlers): void;
  /** Ends the answer. */
  end(trailer: AnswerTrailer): void;
  /** Ends the call with a failure, also in the midst of an answer. */
  fail(failure: Failure, trailer?: AnswerTrailer): void;
  /** Lets the caller send as many more bytes of the request. */
  grantCredit(byteCount: number): void;
  /** Refuses the call, which must not have been dispatched. */
  refuse(
    failure: Failure,
    load: unknown,
    retryAfterMilliseconds: number,
    tokensReturned?: number,
  ): void;
  sendHead(head: AnswerHead): void;
  /** Sends part of the answer; false asks to wait for `onWritable`. */
  write(bytes: Uint8Array): boolean;
};

/**
 * What the other daemon knows of an attempt:
 * `neverSeen`: it is fenced and will be refused if it arrives later;
 * `running`: the answer follows when it is ready;
 * `done`: the held answer follows;
 * `unknown`: it may have run.
 */
export type AttemptResolution = 'done' | 'neverSeen' | 'running' | 'unknown';

/**
 * Handlers of a resolution. After `running` and `done` the handlers of a call
 * follow; what was delivered before the loss is not delivered again.
 */
export type ResolutionHandlers = OutgoingCallHandlers & {
  readonly onResolution: (resolution: AttemptResolution) => void;
};

/** Concern that a message belongs to. */
export type ChannelName = string;

/** Sender of a message, proved by the handshake of its session. */
export type MessageSource = {
  readonly address: Address;
  readonly daemon: DaemonName;
};

/** Listener for the messages of one channel. */
export type MessageListener = (message: unknown, source: MessageSource) => void;

/** What the owner of packets is told. */
export type PacketListener = {
  /** A session with a daemon is open; packets can be sent. */
  readonly onOpened: (daemon: DaemonName) => void;
  readonly onPacket: (bytes: Uint8Array, source: DaemonName) => void;
  /** What was sent on the last session with a daemon may not have arrived. */
  readonly onLost: (daemon: DaemonName) => void;
};

/** What the pool reports for the time line and the log. */
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
};

/** What a pool needs. */
export type SessionPoolOptions = {
  /** Address that other daemons reach this one at, if not the bound one. */
  readonly advertisedAddress?: Address | undefined;
  readonly clock: MonotonicClock;
  readonly fleetKeys: FleetKeys;
  readonly limits?: Partial<SessionLimits> | undefined;
  /** Address to listen on with TCP and UDP; port 0 takes a free one. */
  readonly listen: {readonly host: string; readonly port: number};
  readonly onEvent: (event: SessionEvent) => void;
  readonly randomNumber: RandomNumber;
  readonly resolveAddress: (name: DaemonName) => Address | undefined;
  readonly self: DaemonIdentity;
  readonly switches?: Partial<SessionSwitches> | undefined;
};

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

/** Checks that tests disable to prove that they are needed. */
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
