/** Creates the replica set manager of a voter. */

import type {DaemonHost} from '../DaemonHost.js';
import type {FleetMember} from './ConfigurationService.js';
import type {Voter} from './createVoter.js';
import type {ReplicaAnnouncements} from 'jackdawcove-revision';

import {ReplicaSetManager} from './ReplicaSetManager.js';

/** What the manager needs of the daemon. */
export type ReplicaSetManagerInput = {
  readonly announcements: ReplicaAnnouncements;
  readonly getMembers: () => readonly FleetMember[];
  readonly host: DaemonHost;
  readonly voter: Voter;
};

/**
 * Creates the manager; it logs each change of the voters and records it on the
 * timeline.
 *
 * @example
 * createReplicaSetManager({announcements, getMembers, host, voter}).tick(now);
 */
export function createReplicaSetManager({
  announcements,
  getMembers,
  host,
  voter,
}: ReplicaSetManagerInput): ReplicaSetManager {
  const {log, recordEvent, settings, wallClock} = host;
  return new ReplicaSetManager({
    announcements,
    faultTolerance: settings.control.faultTolerance,
    getMembers,
    localReplica: voter.replica,
    onTargetChange: ({reason, voters}) => {
      log.info({reason, voters}, 'changing the voters');
      recordEvent('votersPlanned', {detail: voters.join(' '), reason});
    },
    voter: voter.runtime,
    wallClock,
  });
}
