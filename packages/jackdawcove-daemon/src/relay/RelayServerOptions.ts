/** Dependencies of the relay's server side. */

import type {DaemonHost} from '../DaemonHost.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {RelayTransport} from './RelayTransport.js';
import type {RelayDialect} from './RelayTypes.js';
import type {RunningRequests} from './RunningRequests.js';

/** Dependencies of the relay's server side. */
export type RelayServerOptions = {
  readonly dialect: RelayDialect;
  readonly host: DaemonHost;
  readonly membership: MembershipService;
  readonly onOffer: () => void;
  readonly quarantine: QuarantineRegistration;
  readonly runningRequests: RunningRequests;
  readonly transport: RelayTransport;
};
