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

/** Identifier of a call, assigned by its first daemon, unique in the fleet. */
export type CallIdentifier = string;

/** Request of a caller. */
export type CallRequest = {
  /** Hash of the complete body; absent if the body is streamed. */
  readonly bodyFingerprint?: string | undefined;
  /** Absent if the caller did not declare the length. */
  readonly bodyLength?: number | undefined;
  /** Value of the Jackdaw-Context header, as received. */
  readonly contextHeader?: string | undefined;
  /** Key of a non-idempotent request; the I/O layer mints a missing one. */
  readonly idempotencyKey?: string | undefined;
  /** True if the call arrived on the listener for the local backend server. */
  readonly isFromLoopback: boolean;
  /** True if the I/O layer minted the key: no earlier request has used it. */
  readonly isKeyMinted?: boolean;
  /** False if the body is streamed and cannot be sent again. */
  readonly isReplayable: boolean;
  readonly method: string;
  /**
   * Identifier of the request that makes this call. Ignored unless the local
   * backend server is running that request.
   */
  readonly parentRequestIdentifier?: string;
  readonly path: string;
  /** Policy of the route; if absent, `ResolvePolicy` looks it up. */
  readonly policy?: CallPolicy;
  /** Identifier that the caller gave the request, for logs. */
  readonly requestIdentifier?: string;
  readonly service: ServiceName;
  /** Timeout requested by the caller; the configured timeout limits it. */
  readonly timeoutMilliseconds?: number | undefined;
};

/** Policy of the fleet configuration for a request. */
export type CallPolicy = {
  /**
   * Number of redirects to other instances that cost no retry token. They apply
   * to attempts that daemons refused, which reached no backend server.
   */
  readonly freeRedirects?: number;
  readonly importance: Importance;
  readonly isIdempotent: boolean;
  readonly maximumDepth: number;
  /**
   * Retry tokens of a root request, R: the request and all its nested calls
   * together make at most R attempts more than there are calls.
   */
  readonly retryAllowance: number;
  /** Revision of the configuration that this policy comes from. */
  readonly revision: number;
  /** Name of the route, under which downstream thresholds are recorded. */
  readonly route: string;
  readonly timeoutMilliseconds: Milliseconds;
  /** False if every request counts as new, so that no key has to be claimed. */
  readonly usesLedger?: boolean;
};

/** Looks up the policy of a request in the active configuration. */
export type ResolvePolicy = (request: CallRequest) => CallPolicy;

/** Lists the known instances of a service; undefined for an unknown service. */
export type ListInstances = (
  service: ServiceName,
) => readonly InstanceCandidate[] | undefined;

/** Outcome under which a claimed key is completed. */
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
      /** The caller closed its connection, or the parent call was cancelled. */
      readonly kind: 'callerDisconnected';
      readonly callIdentifier: CallIdentifier;
    }
  | {
      /** The ledger holds the complete answer; the I/O layer returns it. */
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
      /** The session to the daemon closed or timed out. */
      readonly kind: 'sessionLost';
      readonly daemon: DaemonName;
    }
  | {
      /**
       * The attempt was never sent: no session could be opened, or the session
       * closed before a byte was written.
       */
      readonly kind: 'sendFailed';
      readonly attemptIdentifier: AttemptIdentifier;
    }
  | {
      /** Due every TICK_INTERVAL_MILLISECONDS. */
      readonly kind: 'tick';
    };

/**
 * Send the records to the daemons of the instances of their services and to a
 * few other daemons. A daemon forwards the records that are new to it.
 */
export type SpreadSuspectsEffect = {
  readonly kind: 'spreadSuspects';
  readonly records: readonly SuspectRecord[];
};

/** Effects of the caller side. */
export type CallerSideEffect =
  | {
      /** Cancel the attempt on its daemon: best effort, without a response. */
      readonly kind: 'cancelAttempt';
      readonly attemptIdentifier: AttemptIdentifier;
      readonly callIdentifier: CallIdentifier;
      readonly daemon: DaemonName;
    }
  | {
      /** Claim the key at the ledger; the reply is a `claim…` input. */
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
       * Last effect of a call. If `isAnswerForwarded` is true, the forwarded
       * answer is complete (result ok) or truncated (any other result).
       * Otherwise the I/O layer answers the caller with the result.
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
      /** Forward the head and body of this attempt only to the caller. */
      readonly kind: 'forwardAnswer';
      readonly attemptIdentifier: AttemptIdentifier;
      readonly callIdentifier: CallIdentifier;
    }
  | {
      /** Query the daemon on a new session; the reply is a `resolved` input. */
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
  /** Maximum number of connections to the backend server. */
  readonly connections: number;
  readonly incarnation: Incarnation;
  readonly instance: InstanceName;
  readonly service: ServiceName;
  readonly slots: number;
};

/** Health of the backend server as the platform reports it; never acted on. */
export type HealthHint = {
  readonly isHealthy: boolean;
  readonly load?: number;
};

/** Inputs of the server side. */
export type ServerSideInput =
  | {
      /** Announcement of a new process, or an update of the current one. */
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
      /** The backend server sent its complete answer. */
      readonly kind: 'backendAnswered';
      readonly attemptIdentifier: AttemptIdentifier;
    }
  | {
      /** The process of the backend server ended, with all its requests. */
      readonly kind: 'backendCrashed';
    }
  | {
      /**
       * A single request failed without a complete answer. `isDispatched` is
       * false only if no byte of it was written to the backend server, or if
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
      /** The lease of the announcement expired or was released. */
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
       * Last effect of a dispatched attempt, after its body. It is repeated
       * after a resolution `done`: the I/O layer first sends the answer that it
       * retained, or else replaces the result `ok` by `answerCut`.
       */
      readonly kind: 'endAnswer';
      readonly callerDaemon: DaemonName;
      readonly end: AnswerEnd;
    }
  | {
      /** Only effect of an attempt that was not dispatched. */
      readonly kind: 'refuse';
      readonly callerDaemon: DaemonName;
      readonly refusal: AttemptRefusal;
    }
  | SpreadSuspectsEffect;

/** Load and state of the server side, for the I/O layer. */
export type ServerSideStatus = {
  readonly inFlight: number;
  readonly isDraining: boolean;
  readonly limit: number;
  readonly load: LoadReport;
  readonly queued: number;
};
