/** Effects and dependencies of an aggregator of quotas. */

import type {QuotaMessage} from './QuotaMessages.js';
import type {FindQuota, QuotaRule} from './QuotaTypes.js';
import type {DaemonName} from 'jackdawcove-shared';

/** Effects of an aggregator. */
export type QuotaEffect =
  | {
      readonly kind: 'limitChanged';
      readonly isLimited: boolean;
      readonly organisation: string;
    }
  | {
      readonly kind: 'send';
      readonly message: QuotaMessage;
      readonly to: DaemonName;
    }
  | {readonly kind: 'started'}
  | {readonly kind: 'stopped'};

/** Dependencies of an aggregator. */
export type QuotaAggregatorOptions = {
  readonly findQuota: FindQuota;
  /** Number of daemons that may admit requests, in reach or not. */
  readonly getKnownDaemons: () => number;
  /** Daemons that sum other parts of the fleet, by the view. */
  readonly getPeers: () => readonly DaemonName[];
  /** Number that grows with each start of the daemon. */
  readonly process: number;
  readonly rule: QuotaRule;
};
