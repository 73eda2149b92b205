/** Options of a simulated cluster. */

import type {InjectedBug} from './SimulatedVoter.js';
import type {VoterCluster} from './VoterCluster.js';
import type {VoterFaults} from './VoterFaults.js';
import type {RandomNumber} from 'jackdawcove-shared';

/** Machines of a cluster; the first letter of a daemon is its availability zone. */
export type ClusterDeployment = {
  readonly daemons: readonly string[];
  readonly faultTolerance: number;
  readonly injectFaults: (cluster: VoterCluster, random: RandomNumber) => void;
};

/** Options of a simulated run. */
export type VoterClusterOptions = {
  /** Machines that replace each other; without it, five with fixed voters. */
  readonly deployment?: ClusterDeployment;
  readonly faults: VoterFaults;
  readonly injectedBug?: InjectedBug;
  /** Whether a daemon runs a version that does not know replacements of voters. */
  readonly isOlder?: (daemon: string) => boolean;
  readonly seed: number;
};
