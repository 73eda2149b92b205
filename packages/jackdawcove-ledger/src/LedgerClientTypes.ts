/** Effects and options of LedgerClient. */

import type {InjectedClaimBugs} from './ClaimAttempt.js';
import type {LedgerMessage} from './LedgerMessages.js';
import type {ClaimOutcome} from './LedgerTypes.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  Incarnation,
  WallClock,
} from 'jackdawcove-shared';

/** Effect that the caller of a LedgerClient must execute. */
export type LedgerClientEffect =
  | {
      readonly claimNumber: number;
      readonly kind: 'claimSettled';
      readonly outcome: ClaimOutcome;
    }
  | {
      readonly kind: 'send';
      readonly message: LedgerMessage;
      readonly to: DaemonName;
    };

/** What a claimant knows about another daemon. */
export type DaemonPresence = {
  readonly incarnation: Incarnation;
  readonly isReachable: boolean;
};

/** Options of a LedgerClient. */
export type LedgerClientOptions = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly injectedBugs?: InjectedClaimBugs;
  readonly getPresence: (name: DaemonName) => DaemonPresence | undefined;
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
  readonly wallClock: WallClock;
};
