/** Services that the administration API needs from the other subsystems. */

import type {ConfigurationService} from '../control/ConfigurationService.js';
import type {
  DaemonStatus,
  QuarantineEntry,
  QuarantineRelease,
  TimelineAnswer,
} from './AdministrationSchemas.js';
import type {DaemonRecord} from 'jackdawcove-membership';
import type {Failure} from 'jackdawcove-shared';
import type {TimelineFilter} from 'jackdawcove-timeline';
import type {Result} from 'true-myth';

/** Part of the configuration service that the administration API uses. */
export type AdministeredConfiguration = Pick<
  ConfigurationService,
  | 'changeVoters'
  | 'getApplied'
  | 'getHistory'
  | 'getStatus'
  | 'propose'
  | 'read'
>;

/** Quarantine service of the administration API. */
export type AdministeredQuarantine = {
  getEntries(): readonly QuarantineEntry[];
  /** Fails with `notFound` if the fingerprint is neither suspect nor quarantined. */
  release(release: QuarantineRelease): Result<void, Failure>;
};

/** Services of the daemon behind the operations of the API. */
export type AdministrationServices = {
  readonly configuration: AdministeredConfiguration;
  /** Starts draining this daemon; a second call does nothing. */
  readonly drain: () => void;
  readonly getMembers: () => readonly DaemonRecord[];
  readonly getStatus: () => DaemonStatus;
  readonly quarantine: AdministeredQuarantine;
};

/** Queries the timelines of the whole fleet. */
export type QueryTimeline = (filter: TimelineFilter) => Promise<TimelineAnswer>;
