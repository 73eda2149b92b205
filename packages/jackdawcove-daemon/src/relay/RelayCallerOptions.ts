/** Dependencies of the relay's caller side. */

import type {DaemonHost} from '../DaemonHost.js';
import type {DaemonGuard} from '../dataPlane/DaemonGuard.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {RequestQuotas} from '../quota/registerQuota.js';
import type {RelayTransport} from './RelayTransport.js';
import type {RelayDialect} from './RelayTypes.js';
import type {RunningRequests} from './RunningRequests.js';
import type {PlacementCandidate, RetryBudgetOptions} from 'jackdawcove-relay';
import type {ServiceName} from 'jackdawcove-shared';

/** Lists the instances of a service that accept requests now. */
export type ListCandidates = (
  service: ServiceName,
) => readonly PlacementCandidate[];

/** Dependencies of the relay's caller side. */
export type RelayCallerOptions = {
  readonly dialect: Pick<RelayDialect, 'notRunStatuses'>;
  readonly getDaemonCount: () => number;
  readonly guard: DaemonGuard;
  readonly host: DaemonHost;
  readonly listCandidates: ListCandidates;
  readonly onCall: () => void;
  readonly quarantine: QuarantineRegistration;
  /** Undefined where organisations have no quotas. */
  readonly quotas?: RequestQuotas | undefined;
  readonly retryBudget: RetryBudgetOptions;
  readonly runningRequests: RunningRequests;
  readonly transport: RelayTransport;
};
