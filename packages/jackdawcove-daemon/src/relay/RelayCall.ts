/** State of a routed request in the daemon that received it. */

import type {RoutedTarget} from '../embedding/RouteSource.js';
import type {RelayExchange, RequestFacts} from './RelayTypes.js';
import type {RunningRequest} from './RunningRequests.js';
import type {
  AnswerPacket,
  InstancePlacement,
  PlacementCandidate,
  PlacementRequest,
} from 'jackdawcove-relay';
import type {Organisation, Route} from 'jackdawcove-routes';
import type {
  DaemonName,
  Incarnation,
  InstanceName,
  Milliseconds,
  ServiceName,
} from 'jackdawcove-shared';

/** A request that was read completely, with its route. */
export type ReceivedRequest = {
  readonly body: Uint8Array;
  readonly exchange: RelayExchange;
  readonly facts: RequestFacts;
  readonly forwardedLines: string;
  /** Organisation whose key the request carried. */
  readonly organisation?: Organisation | undefined;
  readonly target: RoutedTarget;
};

/** An open request. */
export type RelayCall = {
  attempt: OpenAttempt | undefined;
  attemptCount: number;
  /** Daemon without a session; the call is dispatched as soon as one is open. */
  awaitedDaemon: DaemonName | undefined;
  readonly body: Uint8Array;
  readonly deadline: Milliseconds;
  readonly exchange: RelayExchange;
  /** Instances that the next dispatch skips. */
  readonly excluded: Set<InstanceName>;
  /** Time when the call reached its deadline and its offer was cancelled. */
  expiredAt: Milliseconds | undefined;
  readonly facts: RequestFacts;
  readonly forwardedLines: string;
  /** Whether the call is a retry, or made by a run that is one. */
  isRepeat: boolean;
  isRetry: boolean;
  lastInstance: InstanceName | undefined;
  /** Whether an attempt ran, or may have run. */
  mayHaveRun: boolean;
  /** Name of the organisation whose key the request carried. */
  readonly organisation: string | undefined;
  /** Running request that made the call; undefined for a root call. */
  readonly parent: RunningRequest | undefined;
  /** Number of refusals by daemons, without any load on their instances. */
  redirects: number;
  /** Time of the next dispatch; undefined when none is scheduled. */
  dispatchAt: Milliseconds | undefined;
  readonly route: Route;
  readonly service: ServiceName;
  readonly shedRank: number;
  readonly startedAt: Milliseconds;
  /** Threshold that the instance of the last attempt reported. */
  threshold: number | undefined;
};

/** An attempt whose offer has not ended. */
export type OpenAttempt = {
  readonly call: RelayCall;
  readonly candidate: PlacementCandidate;
  firstPart: AnswerPacket | undefined;
  /** The instance has a rate limit, and others of its service have none. */
  readonly isLimitAvoidable: boolean;
  /** Whether an earlier process of the daemon, which may have run it, got the offer. */
  isReceiverReplaced: boolean;
  /** Time when the session was lost; undefined once the offer is sent again. */
  lostAt: Milliseconds | undefined;
  readonly number: number;
  readonly bodyParts: Uint8Array[];
  /** Process of the daemon that got the offer first; undefined for this daemon. */
  receiver: Incarnation | undefined;
  /** Rate limit of the instance that was known when it was chosen. */
  readonly requestsPerSecond: number | undefined;
  readonly sentAt: Milliseconds;
};

/**
 * Creates a call. A call of a running request inherits its shed rank and deadline;
 * `rootRank` is the shed rank of other calls.
 *
 * @example
 * const call = createCall(received, parent, clock(), 2_417);
 */
export function createCall(
  received: ReceivedRequest,
  parent: RunningRequest | undefined,
  now: Milliseconds,
  rootRank: number,
): RelayCall {
  const {body, exchange, facts, forwardedLines, organisation} = received;
  const {route, service} = received.target;
  const timeoutMilliseconds = Math.min(
    facts.timeoutMilliseconds ?? Number.POSITIVE_INFINITY,
    route.timeoutMilliseconds,
  );
  return {
    attempt: undefined,
    attemptCount: 0,
    awaitedDaemon: undefined,
    body,
    deadline: Math.min(
      now + timeoutMilliseconds,
      parent?.deadline ?? Number.MAX_VALUE,
    ),
    dispatchAt: undefined,
    exchange,
    excluded: new Set(),
    expiredAt: undefined,
    facts,
    forwardedLines,
    isRepeat: parent?.isRepeat ?? false,
    isRetry: false,
    lastInstance: undefined,
    mayHaveRun: false,
    organisation: organisation?.name,
    parent,
    redirects: 0,
    route,
    service,
    shedRank: parent?.shedRank ?? rootRank,
    startedAt: now,
    threshold: undefined,
  };
}

/**
 * Creates an attempt with what is known of its instance.
 *
 * @example
 * createAttempt({call, candidate, number: 7, sentAt: now}, placement, all);
 */
export function createAttempt(
  attempt: Pick<OpenAttempt, 'call' | 'candidate' | 'number' | 'sentAt'>,
  placement: InstancePlacement,
  eligible: readonly PlacementCandidate[],
): OpenAttempt {
  const {call, candidate, number, sentAt} = attempt;
  return {
    bodyParts: [],
    call,
    candidate,
    firstPart: undefined,
    isLimitAvoidable: placement.isLimitAvoidable(candidate, eligible),
    isReceiverReplaced: false,
    lostAt: undefined,
    number,
    receiver: undefined,
    requestsPerSecond: placement.getRequestRate(candidate),
    sentAt,
  };
}

/** Share of its total time that a call must have left for a retry of a run. */
const MINIMUM_RETRY_TIME_SHARE = 0.25;

/** Whether another attempt is allowed; refusals by daemons do not count. */
export function hasAttemptsLeft({
  attemptCount,
  redirects,
  route,
}: RelayCall): boolean {
  return attemptCount < route.attempts + redirects;
}

/** Whether a request that ran, or may have run, may be retried. */
export function canRetryRun(call: RelayCall, now: Milliseconds): boolean {
  const {deadline, route, startedAt} = call;
  const remaining = deadline - now;
  return (
    route.isIdempotent &&
    hasAttemptsLeft(call) &&
    remaining > (deadline - startedAt) * MINIMUM_RETRY_TIME_SHARE
  );
}

/** Whether the instance reported a rate limit that was not known at its choice. */
export function hasLearnedRateLimit(
  {candidate, requestsPerSecond}: OpenAttempt,
  placement: InstancePlacement,
): boolean {
  return (
    requestsPerSecond === undefined &&
    placement.getRequestRate(candidate) !== undefined
  );
}

function discardParts(attempt: OpenAttempt): void {
  attempt.firstPart = undefined;
  attempt.bodyParts.length = 0;
}

/** Records which process of the daemon an offer was sent to. */
export function recordReceiver(
  attempt: OpenAttempt,
  incarnation: Incarnation | undefined,
): void {
  attempt.receiver ??= incarnation;
  attempt.isReceiverReplaced ||= attempt.receiver !== incarnation;
}

/** Marks the session as lost; the answer parts received so far are discarded. */
export function markLost(attempt: OpenAttempt, now: Milliseconds): void {
  attempt.lostAt = now;
  discardParts(attempt);
}

/**
 * Adds a part of an answer; returns the answer once it is complete. A part that does not
 * follow the part before is discarded with it, because a session was lost between them
 * and the answer is sent again.
 *
 * @example
 * const answer = addAnswerPart(attempt, packet);
 */
export function addAnswerPart(
  attempt: OpenAttempt,
  packet: AnswerPacket,
): AnswerPacket | undefined {
  const {bodyParts} = attempt;
  const {body, isLast, partNumber = bodyParts.length} = packet;
  if (partNumber !== bodyParts.length) {
    discardParts(attempt);
    if (partNumber !== 0) {
      return undefined;
    }
  }
  const firstPart = (attempt.firstPart ??= packet);
  if (isLast && bodyParts.length === 0) {
    return packet;
  }
  bodyParts.push(body);
  return isLast ? {...firstPart, body: Buffer.concat(bodyParts)} : undefined;
}

/** Returns the properties of a call that the choice of an instance depends on. */
export function getPlacementRequest({route}: RelayCall): PlacementRequest {
  return {
    objectiveMilliseconds: route.latencyObjectiveMilliseconds,
    route: route.name,
  };
}
