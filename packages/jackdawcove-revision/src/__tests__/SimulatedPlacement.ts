/** Changes of the replica set by the leader of a simulated cluster. */

import type {ReplicaSetStepInput} from '../index.js';
import type {InjectedBug, SimulatedVoter} from './SimulatedVoter.js';

import {
  PLACEMENT_INTERVAL_MILLISECONDS,
  planReplicaSetStep,
  VoterPlacement,
} from '../index.js';
import {planBuggyStep} from './planBuggyStep.js';

/** Options of the placement. */
export type SimulatedPlacementOptions = {
  /** Undefined if only operators change the voters. */
  readonly faultTolerance: number | undefined;
  /** Returns the running voters that are connected to a voter, and itself. */
  readonly getVotersInReach: (
    voter: SimulatedVoter,
  ) => readonly SimulatedVoter[];
  readonly injectedBug: InjectedBug | undefined;
};

/** Plans the voters of a simulated cluster as the daemons do. */
export class SimulatedPlacement {
  readonly #options: SimulatedPlacementOptions;

  constructor(options: SimulatedPlacementOptions) {
    this.#options = options;
  }

  /** Whether a leader may accept changes, because enough voters store them. */
  isAcceptingChanges(voter: SimulatedVoter): boolean {
    return this.#createPlacement(voter)?.hasEnoughVoters() ?? true;
  }

  /** Proposes new target voters and the next step towards the target. */
  tick(voter: SimulatedVoter, now: number): void {
    const {raft} = voter;
    if (raft?.isReadyLeader() !== true) {
      return;
    }
    const placement = this.#createPlacement(voter);
    const change =
      now % PLACEMENT_INTERVAL_MILLISECONDS === 0
        ? placement?.planTarget()
        : undefined;
    if (change !== undefined) {
      voter.proposeVoters(change.voters, now);
    }
    const announced = new Map(
      this.#options
        .getVotersInReach(voter)
        .map((other) => [other.daemon, other.getReplica()]),
    );
    const input: ReplicaSetStepInput = {
      getAnnounced: (daemon) => announced.get(daemon),
      isCaughtUp: (identity) => raft.isCaughtUp(identity),
      replicaSet: raft.getStatus().replicaSet,
      standbys: placement?.planStandbys() ?? [],
      target: voter.machine.getVoterTarget(),
    };
    const next =
      planBuggyStep(this.#options.injectedBug, input) ??
      planReplicaSetStep(input);
    if (next !== undefined) {
      voter.proposeReplicaSet(next, now);
    }
  }

  #createPlacement(voter: SimulatedVoter): VoterPlacement | undefined {
    const {faultTolerance, getVotersInReach} = this.#options;
    const {raft} = voter;
    return faultTolerance === undefined || raft === undefined
      ? undefined
      : new VoterPlacement({
          candidates: getVotersInReach(voter).map(({daemon}) => ({
            availabilityZone: daemon.charAt(0),
            daemon,
          })),
          faultTolerance,
          getAvailabilityZone: (daemon) => daemon.charAt(0),
          getSilence: ({identity}) => raft.getSilence(identity),
          leader: voter.daemon,
          replicaSet: raft.getStatus().replicaSet,
          target: voter.machine.getVoterTarget(),
        });
  }
}
