/** Dependencies of the relay's server side. */

import type {DaemonHost} from '../DaemonHost.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {AnswerMemory} from './BackendPool.js';
import type {ListCandidates} from './RelayCallerOptions.js';
import type {RelayTransport} from './RelayTransport.js';
import type {RelayDialect} from './RelayTypes.js';
import type {RunningRequests} from './RunningRequests.js';
import type {RetryBudgetOptions} from 'jackdawcove-relay';

/** Dependencies of the relay's server side. */
export type RelayServerOptions = {
  readonly answerMemory?: AnswerMemory | undefined;
  readonly dialect: RelayDialect;
  readonly host: DaemonHost;
  readonly listCandidates: ListCandidates;
  readonly membership: MembershipService;
  readonly onOffer: () => void;
  readonly quarantine: QuarantineRegistration;
  /** Budget of the whole fleet. */
  readonly retryBudget: RetryBudgetOptions;
  readonly runningRequests: RunningRequests;
  readonly transport: RelayTransport;
};
