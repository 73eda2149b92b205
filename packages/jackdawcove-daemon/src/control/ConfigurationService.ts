/** Types of the service that reads and changes the fleet configuration. */

import type {
  ConfigurationChange,
  ConfigurationRecord,
  HistoryRecord,
  VoterChange,
} from 'jackdawcove-revision';
import type {DaemonName, Failure, Teardown} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

/** Configuration that is in effect on this daemon. */
export type AppliedConfiguration = {
  readonly digest: string;
  readonly documentText: string;
  /** False while no peer has confirmed that the revision is current. */
  readonly isConfirmed: boolean;
  /** 0 before the first accepted change; digest and text are empty then. */
  readonly revision: number;
};

/** Reason why a member does not count as running the newest revision. */
export type MissingReason = 'behind' | 'digestDiffers' | 'unreachable';

/** Member that does not run the newest revision. */
export type MissingMember = {
  readonly daemon: DaemonName;
  readonly reason: MissingReason;
  /** Revision that the member runs; undefined if it did not answer. */
  readonly revision: number | undefined;
};

/** Leader, voters, and how many members run the newest revision. */
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

/** Member of the fleet in the membership view. */
export type FleetMember = {
  readonly availabilityZone: string;
  readonly daemon: DaemonName;
  readonly isReachable: boolean;
};

/** Dependencies of the control subsystem besides the host. */
export type ControlDependencies = {
  /** Fails unless the text is a valid fleet configuration. */
  readonly checkDocument: (documentText: string) => Result<unknown, Failure>;
  /** Returns the members of the fleet, including this daemon. */
  readonly getMembers: () => readonly FleetMember[];
};

/** Listener for a newly applied configuration. */
export type AppliedListener = (applied: AppliedConfiguration) => void;

/** Service that reads and changes the fleet configuration through any daemon. */
export type ConfigurationService = {
  changeVoters(
    change: VoterChange,
  ): Promise<Result<readonly DaemonName[], Failure>>;
  getApplied(): AppliedConfiguration;
  /** Accepted changes, newest first, read through the leader. */
  getHistory(): Promise<Result<readonly HistoryRecord[], Failure>>;
  getStatus(): Promise<ConfigurationStatus>;
  /** Returns whether the start-up gate allows the daemon to accept calls. */
  isReady(): boolean;
  /** Transfers leadership; resolves once this daemon does not lead or on timeout. */
  prepareStop(): Promise<void>;
  propose(
    change: ConfigurationChange,
  ): Promise<Result<ConfigurationRecord, Failure>>;
  /** Newest accepted configuration (or an older one), read through the leader. */
  read(revision?: number): Promise<Result<ConfigurationRecord, Failure>>;
  registerAppliedListener(listener: AppliedListener): Teardown;
};
