/** Effects and options of the claimant. */

import type {InjectedClaimFaults} from './ClaimAttempt.js';
import type {LedgerMessage} from './LedgerMessages.js';
import type {ClaimOutcome} from './LedgerTypes.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  Incarnation,
  WallClock,
} from 'jackdawcove-shared';

/** What a claimant asks its owner to carry out. */
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

/** What a claimant knows of another daemon. */
export type DaemonPresence = {
  readonly incarnation: Incarnation;
  readonly isReachable: boolean;
};

/** What a claimant is made of. */
export type LedgerClientOptions = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly injectedFaults?: InjectedClaimFaults;
  readonly getPresence: (name: DaemonName) => DaemonPresence | undefined;
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
  readonly wallClock: WallClock;
};
