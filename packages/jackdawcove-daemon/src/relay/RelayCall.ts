/** A routed request under way, as the daemon where it began keeps it. */

import type {RoutedTarget} from '../embedding/RouteSource.js';
import type {RelayExchange, RequestFacts} from './RelayTypes.js';
import type {RunningRequest} from './RunningRequests.js';
import type {
  AnswerPacket,
  PlacementCandidate,
  PlacementRequest,
} from 'jackdawcove-relay';
import type {Route} from 'jackdawcove-routes';
import type {
  DaemonName,
  InstanceName,
  Milliseconds,
  ServiceName,
} from 'jackdawcove-shared';

import {RANKS_PER_IMPORTANCE} from 'jackdawcove-relay';
import {getImportanceRank, IMPORTANCES} from 'jackdawcove-shared';

const LOWEST_IMPORTANCE_RANK = IMPORTANCES.length - 1;

/** A request that was read whole. */
export type ReceivedRequest = {
  readonly body: Uint8Array;
  readonly exchange: RelayExchange;
  readonly facts: RequestFacts;
  readonly forwardedLines: string;
  readonly target: RoutedTarget;
};

/** A request under way. */
export type RelayCall = {
  attempt: OpenAttempt | undefined;
  attemptCount: number;
  /** Daemon whose session the call waits for. */
  awaitedDaemon: DaemonName | undefined;
  readonly body: Uint8Array;
  readonly deadline: Milliseconds;
  readonly exchange: RelayExchange;
  /** Instances that are not asked again for now. */
  readonly excluded: Set<InstanceName>;
  /** When the time of the call was over and its offer was withdrawn. */
  expiredAt: Milliseconds | undefined;
  readonly facts: RequestFacts;
  readonly forwardedLines: string;
  isRepeat: boolean;
  lastInstance: InstanceName | undefined;
  readonly parent: RunningRequest | undefined;
  /** Daemons that refused the request at no cost to their instances. */
  redirects: number;
  /** When the call is placed again. */
  dispatchAt: Milliseconds | undefined;
  readonly route: Route;
  readonly service: ServiceName;
  readonly shedRank: number;
  readonly startedAt: Milliseconds;
  /** Threshold of the instance that refused the call last. */
  threshold: number | undefined;
};

/** An offer that has not ended. */
export type OpenAttempt = {
  readonly call: RelayCall;
  readonly candidate: PlacementCandidate;
  firstPart: AnswerPacket | undefined;
  /** Set while it is unknown whether the daemon still has the offer. */
  lostAt: Milliseconds | undefined;
  readonly number: number;
  readonly bodyParts: Uint8Array[];
  readonly sentAt: Milliseconds;
};

/**
 * Creates a call. One that a run makes inherits rank and deadline of the request
 * that is run; `cohort` in [0, 1) places the others within their importance.
 *
 * @example
 * const call = createCall(received, parent, clock(), randomNumber());
 */
export function createCall(
  {body, exchange, facts, forwardedLines, target}: ReceivedRequest,
  parent: RunningRequest | undefined,
  now: Milliseconds,
  cohort: number,
): RelayCall {
  const {route, service} = target;
  const timeoutMilliseconds = Math.min(
    facts.timeoutMilliseconds ?? Number.POSITIVE_INFINITY,
    route.timeoutMilliseconds,
  );
  const importance =
    LOWEST_IMPORTANCE_RANK - getImportanceRank(route.importance);
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
    lastInstance: undefined,
    parent,
    redirects: 0,
    route,
    service,
    shedRank:
      parent?.shedRank ??
      importance * RANKS_PER_IMPORTANCE +
        Math.floor(cohort * RANKS_PER_IMPORTANCE),
    startedAt: now,
    threshold: undefined,
  };
}

/** Share of its time that a request must have left to run once more. */
const MINIMUM_RETRY_TIME_SHARE = 0.25;

/** Whether another instance may be asked; refusals by daemons do not count. */
export function hasAttemptsLeft({
  attemptCount,
  redirects,
  route,
}: RelayCall): boolean {
  return attemptCount < route.attempts + redirects;
}

/** Whether a request that has run, or may have, may run again. */
export function canRetryRun(call: RelayCall, now: Milliseconds): boolean {
  const {deadline, route, startedAt} = call;
  const remaining = deadline - now;
  return (
    route.isIdempotent &&
    hasAttemptsLeft(call) &&
    remaining > (deadline - startedAt) * MINIMUM_RETRY_TIME_SHARE
  );
}

/** The daemon of an attempt may not have it any more, nor its answer so far. */
export function markLost(attempt: OpenAttempt, now: Milliseconds): void {
  attempt.lostAt = now;
  attempt.firstPart = undefined;
  attempt.bodyParts.length = 0;
}

/** Returns the body of an answer; most come in one part. */
export function joinParts(
  parts: readonly Uint8Array[],
  last: Uint8Array,
): Uint8Array {
  return parts.length === 0 ? last : Buffer.concat(parts);
}

/** Returns what a call asks of the place where it runs. */
export function getPlacementRequest({route}: RelayCall): PlacementRequest {
  return {
    objectiveMilliseconds: route.latencyObjectiveMilliseconds,
    route: route.name,
  };
}
