/** Keeps the replica set of this leader at its size and spread over the zones. */

import type {FleetMember} from './ConfigurationService.js';
import type {VoterRuntime} from './VoterRuntime.js';
import type {Replica} from 'jackdawcove-consensus';
import type {
  ReplicaAnnouncements,
  VoterTargetChange,
} from 'jackdawcove-revision';
import type {Milliseconds, WallClock} from 'jackdawcove-shared';

import {
  PLACEMENT_INTERVAL_MILLISECONDS,
  planReplicaSetStep,
  VOTER_GROWTH_TIMEOUT_MILLISECONDS,
  VoterPlacement,
} from 'jackdawcove-revision';

const AUTHOR = 'jackdawcove';

/** Options of a replica set manager. */
export type ReplicaSetManagerOptions = {
  readonly announcements: ReplicaAnnouncements;
  readonly faultTolerance: number;
  readonly getMembers: () => readonly FleetMember[];
  readonly localReplica: Replica;
  readonly onTargetChange: (change: VoterTargetChange) => void;
  readonly voter: VoterRuntime;
  readonly wallClock: WallClock;
};

/**
 * Manages the replica set while the local voter leads.
 *
 * @example
 * manager.tick(now);
 * manager.isAcceptingChanges(now);
 */
export class ReplicaSetManager {
  #leadingSince: Milliseconds | undefined;
  #nextPlanAt: Milliseconds = 0;
  readonly #options: ReplicaSetManagerOptions;
  #standbys: readonly string[] = [];

  constructor(options: ReplicaSetManagerOptions) {
    this.#options = options;
  }

  /** Plans the target voters at intervals and proposes the next step to them. */
  tick(now: Milliseconds): void {
    const {isReadyLeader, status} = this.#options.voter.getView();
    if (!isReadyLeader) {
      this.#leadingSince = undefined;
      return;
    }
    this.#leadingSince ??= now;
    if (now >= this.#nextPlanAt) {
      this.#nextPlanAt = now + PLACEMENT_INTERVAL_MILLISECONDS;
      this.#plan(now);
    }
    if (status.replicaSetIndex <= status.commitIndex) {
      this.#proposeStep(now);
    }
  }

  /**
   * Returns whether this leader may accept changes: the voters are as many as
   * the tolerated losses require, or no more of them can be had in time.
   */
  isAcceptingChanges(now: Milliseconds): boolean {
    const leadingFor = now - (this.#leadingSince ?? now);
    return (
      this.#options.faultTolerance === 0 ||
      leadingFor >= VOTER_GROWTH_TIMEOUT_MILLISECONDS ||
      this.#createPlacement(now).hasEnoughVoters()
    );
  }

  #plan(now: Milliseconds): void {
    const {localReplica, onTargetChange, voter, wallClock} = this.#options;
    const placement = this.#createPlacement(now);
    this.#standbys = placement.planStandbys();
    const change = placement.planTarget();
    if (change === undefined) {
      return;
    }
    onTargetChange(change);
    const {lastIndex, term} = voter.getView().status;
    const changeIdentifier = `${localReplica.identity}-${String(term)}-${String(lastIndex)}`;
    voter.propose({
      acceptedAt: wallClock(),
      change: {
        author: AUTHOR,
        changeIdentifier,
        reason: change.reason,
        voters: [...change.voters],
      },
      kind: 'voterChange',
    });
  }

  #proposeStep(now: Milliseconds): void {
    const {announcements, voter} = this.#options;
    const next = planReplicaSetStep({
      getAnnounced: (daemon) => announcements.getReplica(daemon, now),
      isCaughtUp: (identity) => voter.isCaughtUp(identity),
      replicaSet: voter.getView().status.replicaSet,
      standbys: this.#standbys,
      target: voter.getStateMachine().getVoterTarget(),
    });
    if (next !== undefined) {
      voter.changeReplicaSet(next);
    }
  }

  #createPlacement(now: Milliseconds): VoterPlacement {
    const {announcements, faultTolerance, getMembers, localReplica, voter} =
      this.#options;
    const members = getMembers();
    const zones = new Map(
      members.map(({availabilityZone, daemon}) => [daemon, availabilityZone]),
    );
    return new VoterPlacement({
      candidates: members.filter(
        ({daemon, isReachable}) =>
          isReachable && announcements.getReplica(daemon, now) !== undefined,
      ),
      faultTolerance,
      getAvailabilityZone: (daemon) => zones.get(daemon),
      getSilence: ({identity}) => voter.getSilence(identity),
      leader: localReplica.daemon,
      replicaSet: voter.getView().status.replicaSet,
      target: voter.getStateMachine().getVoterTarget(),
    });
  }
}
