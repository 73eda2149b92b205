/** Inputs and effects of the two sides of a call. */

import type {
  AnswerEnd,
  AnswerHead,
  Attempt,
  AttemptIdentifier,
  AttemptRefusal,
  LoadReport,
  ResolveAnswer,
  ResolveQuery,
} from './AttemptMessages.js';
import type {SuspectRecord} from 'jackdawcove-quarantine';
import type {InstanceCandidate} from 'jackdawcove-routing';
import type {
  DaemonName,
  Executed,
  Importance,
  Incarnation,
  InstanceName,
  Milliseconds,
  ResultName,
  ServiceName,
} from 'jackdawcove-shared';

/** Identifier of a call, given by the daemon that begins it, unique in the fleet. */
export type CallIdentifier = string;

/** What a caller asks for. */
export type CallRequest = {
  /** Hash of the whole body; left out when the body is streamed. */
  readonly bodyFingerprint?: string | undefined;
  /** Left out when the length is not stated. */
  readonly bodyLength?: number | undefined;
  /** Value of the Jackdaw-Context header, as received. */
  readonly contextHeader?: string | undefined;
  /** Key of a non-idempotent request; the wiring mints a missing one. */
  readonly idempotencyKey?: string | undefined;
  /** True when the call came in on the listener of the local backend server. */
  readonly isFromLoopback: boolean;
  /** True when the wiring minted the key: no earlier request can have used it. */
  readonly isKeyMinted?: boolean;
  /** False when the body is streamed and cannot be sent a second time. */
  readonly isReplayable: boolean;
  readonly method: string;
  /**
   * Identifier of the request whose run makes this call. It counts only while
   * the backend server beside this daemon runs that request.
   */
  readonly parentRequestIdentifier?: string;
  readonly path: string;
  /** Policy of the route; left out when the policy table has to be asked. */
  readonly policy?: CallPolicy;
  /** Identifier that the caller gave the request, for logs. */
  readonly requestIdentifier?: string;
  readonly service: ServiceName;
  /** Deadline asked for by the caller; the configured one bounds it. */
  readonly timeoutMilliseconds?: number | undefined;
};

/** What the fleet configuration says about a request. */
export type CallPolicy = {
  /**
   * Further instances that may be asked, without a retry token, after refusals
   * by daemons: none of those attempts reached a backend server.
   */
  readonly freeRedirects?: number;
  readonly importance: Importance;
  readonly isIdempotent: boolean;
  readonly maximumDepth: number;
  /** Retry tokens of a root request, R. */
  readonly retryAllowance: number;
  /** Revision of the configuration that gave this policy. */
  readonly revision: number;
  /** Name of the route, for what is learned of calls below it. */
  readonly route: string;
  readonly timeoutMilliseconds: Milliseconds;
  /** False: every request is new, so that no key has to be claimed. */
  readonly usesLedger?: boolean;
};

/** Looks up the policy of a request in the configuration in force. */
export type ResolvePolicy = (request: CallRequest) => CallPolicy;

/** Lists the known instances of a service; undefined for an unknown service. */
export type ListInstances = (
  service: ServiceName,
) => readonly InstanceCandidate[] | undefined;

/** How a claimed key ends. */
export type ClaimOutcome = 'notRun' | 'ran' | 'unknown';

/** Inputs of the caller side. */
export type CallerSideInput =
  | {
      readonly kind: 'answerEnd';
      readonly end: AnswerEnd;
    }
  | {
      readonly kind: 'answerHead';
      readonly head: AnswerHead;
    }
  | {
      readonly kind: 'attemptRefused';
      readonly refusal: AttemptRefusal;
    }
  | {
      readonly kind: 'begin';
      readonly callIdentifier: CallIdentifier;
      readonly request: CallRequest;
    }
  | {
      /** The caller closed its connection or the parent was cancelled. */
      readonly kind: 'callerDisconnected';
      readonly callIdentifier: CallIdentifier;
    }
  | {
      /** The ledger holds the whole answer; the wiring returns it. */
      readonly kind: 'claimAnswered';
      readonly callIdentifier: CallIdentifier;
    }
  | {
      readonly kind: 'claimGranted';
      readonly callIdentifier: CallIdentifier;
    }
  | {
      readonly kind: 'claimRefused';
      readonly callIdentifier: CallIdentifier;
      readonly result: ResultName;
    }
  | {
      readonly kind: 'resolved';
      readonly answer: ResolveAnswer;
    }
  | {
      /** The session to the daemon closed or went silent. */
      readonly kind: 'sessionLost';
      readonly daemon: DaemonName;
    }
  | {
      /**
       * The attempt could not be handed to a session (none could be opened,
       * or it closed before a byte was written): it was never sent.
       */
      readonly kind: 'sendFailed';
      readonly attemptIdentifier: AttemptIdentifier;
    }
  | {
      /** Due every TICK_INTERVAL_MILLISECONDS. */
      readonly kind: 'tick';
    };

/**
 * Send to the daemons of the instances of the records' services and to a few
 * others; a daemon that learns something new passes it on.
 */
export type SpreadSuspectsEffect = {
  readonly kind: 'spreadSuspects';
  readonly records: readonly SuspectRecord[];
};

/** Effects of the caller side. */
export type CallerSideEffect =
  | {
      /** Cancel on the daemon; best effort, no answer is awaited. */
      readonly kind: 'cancelAttempt';
      readonly attemptIdentifier: AttemptIdentifier;
      readonly callIdentifier: CallIdentifier;
      readonly daemon: DaemonName;
    }
  | {
      /** Claim the key at the ledger; answered by a `claim…` input. */
      readonly kind: 'claim';
      readonly callIdentifier: CallIdentifier;
      readonly fingerprint: string;
      readonly idempotencyKey: string;
      readonly remainingMilliseconds: Milliseconds;
    }
  | {
      readonly kind: 'completeClaim';
      readonly callIdentifier: CallIdentifier;
      readonly idempotencyKey: string;
      readonly outcome: ClaimOutcome;
    }
  | {
      /**
       * The last effect of a call. With `isAnswerForwarded` the answer of the
       * backend server ended (result ok) or was cut (any other result);
       * without it the wiring answers with the result itself.
       */
      readonly kind: 'finish';
      readonly attempts: number;
      readonly callIdentifier: CallIdentifier;
      readonly executed: Executed;
      readonly isAnswerForwarded: boolean;
      readonly result: ResultName;
      readonly retryAfterMilliseconds?: Milliseconds;
    }
  | {
      /** Forward head and body of this attempt, and of no other, to the caller. */
      readonly kind: 'forwardAnswer';
      readonly attemptIdentifier: AttemptIdentifier;
      readonly callIdentifier: CallIdentifier;
    }
  | {
      /** Ask the daemon on a new session; answered by a `resolved` input. */
      readonly kind: 'resolveAttempt';
      readonly callIdentifier: CallIdentifier;
      readonly daemon: DaemonName;
      readonly query: ResolveQuery;
    }
  | {
      readonly kind: 'sendAttempt';
      readonly attempt: Attempt;
      readonly callIdentifier: CallIdentifier;
      readonly daemon: DaemonName;
    }
  | SpreadSuspectsEffect;

/** Announcement of the local backend server. */
export type LocalInstance = {
  /** Connections that the backend server takes. */
  readonly connections: number;
  readonly incarnation: Incarnation;
  readonly instance: InstanceName;
  readonly service: ServiceName;
  readonly slots: number;
};

/** What the platform says of the backend server: recorded, never obeyed. */
export type HealthHint = {
  readonly isHealthy: boolean;
  readonly load?: number;
};

/** Inputs of the server side. */
export type ServerSideInput =
  | {
      /** Announced, renewed with other figures, or started anew. */
      readonly kind: 'announced';
      readonly instance: LocalInstance;
    }
  | {
      readonly kind: 'arrive';
      readonly attempt: Attempt;
      readonly callerDaemon: DaemonName;
    }
  | {
      readonly kind: 'attemptCancelled';
      readonly attemptIdentifier: AttemptIdentifier;
    }
  | {
      /** The whole answer was received from the backend server. */
      readonly kind: 'backendAnswered';
      readonly attemptIdentifier: AttemptIdentifier;
    }
  | {
      /** The process of the backend server ended: all that ran on it is cut. */
      readonly kind: 'backendCrashed';
    }
  | {
      /**
       * This one request failed without a whole answer. `isDispatched` is
       * false only when no byte of it was written to the backend server, or when
       * the backend server itself refused it (`isRefused`).
       */
      readonly kind: 'backendFailed';
      readonly attemptIdentifier: AttemptIdentifier;
      readonly isDispatched: boolean;
      readonly isRefused?: boolean;
    }
  | {
      readonly kind: 'drain';
    }
  | {
      readonly kind: 'healthHint';
      readonly hint: HealthHint;
    }
  | {
      readonly kind: 'resolve';
      readonly callerDaemon: DaemonName;
      readonly query: ResolveQuery;
    }
  | {
      /** Due every TICK_INTERVAL_MILLISECONDS. */
      readonly kind: 'tick';
    }
  | {
      /** The lease of the announcement ended or was given back. */
      readonly kind: 'withdrawn';
    };

/** Effects of the server side. */
export type ServerSideEffect =
  | {
      /** Abort the request to the backend server. */
      readonly kind: 'abort';
      readonly attemptIdentifier: AttemptIdentifier;
    }
  | {
      readonly kind: 'answerResolution';
      readonly answer: ResolveAnswer;
      readonly callerDaemon: DaemonName;
    }
  | {
      /** Send the request to the backend server with this context header. */
      readonly kind: 'dispatch';
      readonly attempt: Attempt;
      readonly contextHeader: string;
      readonly remainingMilliseconds: Milliseconds;
    }
  | {
      /**
       * The last effect of a dispatched attempt; follows its body. After a
       * resolution `done` it is given again: the wiring sends the answer that it
       * holds before it, or else replaces the result `ok` by `answerCut`.
       */
      readonly kind: 'endAnswer';
      readonly callerDaemon: DaemonName;
      readonly end: AnswerEnd;
    }
  | {
      /** The only effect of an attempt that was not dispatched. */
      readonly kind: 'refuse';
      readonly callerDaemon: DaemonName;
      readonly refusal: AttemptRefusal;
    }
  | SpreadSuspectsEffect;

/** Load as the server side shows it to the wiring. */
export type ServerSideStatus = {
  readonly inFlight: number;
  readonly isDraining: boolean;
  readonly limit: number;
  readonly load: LoadReport;
  readonly queued: number;
};
