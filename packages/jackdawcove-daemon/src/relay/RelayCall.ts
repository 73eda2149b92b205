/** A routed request under way, as the daemon where it began keeps it. */

import type {RelayExchange, RequestFacts} from './RelayTypes.js';
import type {RunningRequest} from './RunningRequests.js';
import type {AnswerPacket, PlacementCandidate} from 'jackdawcove-relay';
import type {Route} from 'jackdawcove-routes';
import type {
  DaemonName,
  InstanceName,
  Milliseconds,
  ServiceName,
} from 'jackdawcove-shared';

/** A request under way. */
export type RelayCall = {
  attempt: OpenAttempt | undefined;
  attemptCount: number;
  /** Daemon whose session the call waits for. */
  awaited: DaemonName | undefined;
  readonly body: Uint8Array;
  readonly deadline: Milliseconds;
  readonly exchange: RelayExchange;
  /** Instances that are not asked again for now. */
  readonly excluded: Set<InstanceName>;
  readonly facts: RequestFacts;
  readonly forwardedLines: string;
  isRepeat: boolean;
  readonly parent: RunningRequest | undefined;
  /** Daemons that refused the request at no cost to their instances. */
  redirects: number;
  /** When the call is placed again. */
  retryAt: Milliseconds | undefined;
  readonly route: Route;
  readonly service: ServiceName;
  readonly shedRank: number;
  readonly startedAt: Milliseconds;
};

/** An offer that has not ended. */
export type OpenAttempt = {
  readonly call: RelayCall;
  readonly candidate: PlacementCandidate;
  head: AnswerPacket | undefined;
  /** Set while it is unknown whether the daemon still has the offer. */
  lostAt: Milliseconds | undefined;
  readonly number: number;
  readonly parts: Uint8Array[];
  readonly sentAt: Milliseconds;
};
