/** Reads and changes the fleet configuration on behalf of any daemon. */

import type {
  ConfigurationChange,
  ConfigurationRecord,
  HistoryRecord,
  VoterChange,
} from 'jackdawcove-revision';
import type {DaemonName, Failure, Teardown} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

/** Configuration that this daemon has applied. */
export type AppliedConfiguration = {
  readonly digest: string;
  readonly documentText: string;
  /** False while no peer has confirmed that the revision is current. */
  readonly isConfirmed: boolean;
  /** 0 before the first accepted change; the text is empty then. */
  readonly revision: number;
};

/** Why a member does not count as running the newest revision. */
export type MissingReason = 'behind' | 'digestDiffers' | 'unreachable';

/** Member that does not run the newest revision. */
export type MissingMember = {
  readonly daemon: DaemonName;
  readonly reason: MissingReason;
  /** Applied revision, when the member answered. */
  readonly revision: number | undefined;
};

/** Which members really run which revision. */
export type ConfigurationStatus = {
  readonly digest: string;
  readonly inForceCount: number;
  readonly isInForce: boolean;
  readonly leader: DaemonName | undefined;
  readonly memberCount: number;
  readonly missing: readonly MissingMember[];
  readonly revision: number;
  readonly voters: readonly DaemonName[];
};

/** Member of the fleet as the membership view shows it. */
export type FleetMember = {
  readonly availabilityZone: string;
  readonly daemon: DaemonName;
  readonly isReachable: boolean;
};

/** What the control wiring needs besides the host. */
export type ControlDependencies = {
  /** Refuses a text that is no valid fleet configuration. */
  readonly checkDocument: (documentText: string) => Result<unknown, Failure>;
  /** Members of the fleet, with this daemon. */
  readonly getMembers: () => readonly FleetMember[];
};

/** Listener for a newly applied configuration. */
export type AppliedListener = (applied: AppliedConfiguration) => void;

/** Reads and changes the fleet configuration. */
export type ConfigurationService = {
  changeVoters(
    change: VoterChange,
  ): Promise<Result<readonly DaemonName[], Failure>>;
  getApplied(): AppliedConfiguration;
  /** Accepted changes, newest first, read through the leader. */
  getHistory(): Promise<Result<readonly HistoryRecord[], Failure>>;
  getStatus(): Promise<ConfigurationStatus>;
  /** True once the start-up rule was met: calls may be taken. */
  isReady(): boolean;
  /** Hands leadership on; resolves when another leader is known or too late. */
  prepareStop(): Promise<void>;
  propose(
    change: ConfigurationChange,
  ): Promise<Result<ConfigurationRecord, Failure>>;
  /** Newest accepted configuration (or an older one), read through the leader. */
  read(revision?: number): Promise<Result<ConfigurationRecord, Failure>>;
  registerAppliedListener(listener: AppliedListener): Teardown;
};
