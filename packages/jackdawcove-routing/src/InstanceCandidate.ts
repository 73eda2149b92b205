/** Instances to choose from. */

import type {
  AvailabilityZoneName,
  DaemonName,
  Incarnation,
  InstanceName,
} from 'jackdawcove-shared';

/** An instance of a service as the membership view reports it. */
export type InstanceCandidate = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly daemon: DaemonName;
  readonly daemonIncarnation: Incarnation;
  readonly instance: InstanceName;
  readonly instanceIncarnation: Incarnation;
  readonly isDraining: boolean;
  readonly isReachable: boolean;
  readonly region: string;
  readonly slots: number;
};
