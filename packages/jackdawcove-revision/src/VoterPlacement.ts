/** Choice of the daemons that vote, and of the standbys that follow the log. */

import type {Replica, ReplicaSet} from 'jackdawcove-consensus';
import type {
  AvailabilityZoneName,
  DaemonName,
  Milliseconds,
} from 'jackdawcove-shared';

import {ALLOWED_VOTER_COUNTS} from './ConfigurationChange.js';
import {
  LOST_VOTER_MILLISECONDS,
  LOST_VOTERS_MILLISECONDS,
  MINIMUM_ZONES_FOR_MAJORITY_RULE,
  SILENT_VOTER_MILLISECONDS,
} from './RevisionConstants.js';

/** Daemon that runs a replica which may vote, and is in reach of the leader. */
export type VoterCandidate = {
  readonly availabilityZone: AvailabilityZoneName;
  readonly daemon: DaemonName;
};

/** What the leader knows when it plans. */
export type VoterPlacementInput = {
  /** Includes the leader and the voters that are in reach. */
  readonly candidates: readonly VoterCandidate[];
  /** Number of voters that may be lost at the same time; 0 plans nothing. */
  readonly faultTolerance: number;
  readonly getAvailabilityZone: (
    daemon: DaemonName,
  ) => AvailabilityZoneName | undefined;
  /** Time since the leader last heard from a voter; 0 for the leader itself. */
  readonly getSilence: (voter: Replica) => Milliseconds;
  readonly leader: DaemonName;
  readonly replicaSet: ReplicaSet;
  /** Daemons that should be voters according to the replicated state. */
  readonly target: readonly DaemonName[];
};

/** Why the voters change. */
export type VoterTargetReason = 'growth' | 'lostVoter' | 'zoneBalance';

/** Daemons that should be voters from now on. */
export type VoterTargetChange = {
  readonly reason: VoterTargetReason;
  readonly voters: readonly DaemonName[];
};

/**
 * Returns the number of voters that keep a majority after the tolerated losses.
 *
 * @example
 * getVoterCount(2); // 5
 */
export function getVoterCount(faultTolerance: number): number {
  const wanted = 2 * faultTolerance + 1;
  return (
    ALLOWED_VOTER_COUNTS.find((count) => count >= wanted) ??
    Math.max(...ALLOWED_VOTER_COUNTS)
  );
}

/**
 * Plans which daemons vote. It answers the permanent loss of VMs with a disk:
 * their successors have other addresses and empty disks.
 *
 * A voter is lost once it has not answered the leader for a while; longer if
 * other voters are silent too, because a cut between the voters is then more
 * likely than the loss of several VMs. Only one voter is replaced at a time. A
 * replaced voter that returns becomes a standby.
 *
 * @example
 * new VoterPlacement(input).planTarget(); // {reason: 'lostVoter', voters: […]}
 */
export class VoterPlacement {
  readonly #input: VoterPlacementInput;
  readonly #zones: ReadonlyMap<DaemonName, AvailabilityZoneName>;

  constructor(input: VoterPlacementInput) {
    this.#input = input;
    this.#zones = new Map(
      input.candidates.map(({availabilityZone, daemon}) => [
        daemon,
        availabilityZone,
      ]),
    );
  }

  /** Returns the changed target, or undefined while the target stays. */
  planTarget(): VoterTargetChange | undefined {
    const {faultTolerance, target} = this.#input;
    if (faultTolerance === 0 || target.length === 0) {
      return undefined;
    }
    return (
      this.#replaceLostVoter() ?? this.#growVoters() ?? this.#balanceZones()
    );
  }

  /**
   * Returns the daemons that follow the log without a vote, so that they can
   * replace as many voters as may be lost. Present learners come first.
   */
  planStandbys(): readonly DaemonName[] {
    const {candidates, faultTolerance, replicaSet, target} = this.#input;
    const learners = new Set(replicaSet.learners.map(({daemon}) => daemon));
    const free = candidates.filter(({daemon}) => !target.includes(daemon));
    const present = free.filter(({daemon}) => learners.has(daemon));
    const standbys = present.slice(0, faultTolerance);
    while (standbys.length < faultTolerance) {
      const chosen = this.#chooseCandidate(
        free.filter((candidate) => !standbys.includes(candidate)),
        [...target, ...standbys.map(({daemon}) => daemon)],
      );
      if (chosen === undefined) {
        break;
      }
      standbys.push(chosen);
    }
    return standbys.map(({daemon}) => daemon);
  }

  /** Whether the voters are as many as the tolerated losses require. */
  hasEnoughVoters(): boolean {
    const {faultTolerance, replicaSet} = this.#input;
    return replicaSet.voters.length >= getVoterCount(faultTolerance);
  }

  #replaceLostVoter(): VoterTargetChange | undefined {
    const {target} = this.#input;
    const lost = target.find((daemon) => this.#isLost(daemon));
    if (lost === undefined) {
      return undefined;
    }
    const remaining = target.filter((daemon) => daemon !== lost);
    const chosen = this.#chooseCandidate(
      this.#getFreeCandidates(),
      remaining,
      target.length,
    );
    return (
      chosen && {
        reason: 'lostVoter',
        voters: [...remaining, chosen.daemon].sort(),
      }
    );
  }

  /** Grows by two voters, because only odd numbers of voters are targets. */
  #growVoters(): VoterTargetChange | undefined {
    const {faultTolerance, target} = this.#input;
    if (target.length >= getVoterCount(faultTolerance)) {
      return undefined;
    }
    const size = target.length + 2;
    const free = this.#getFreeCandidates();
    const first = this.#chooseCandidate(free, target, size);
    const second =
      first &&
      this.#chooseCandidate(
        free.filter((candidate) => candidate !== first),
        [...target, first.daemon],
        size,
      );
    return (
      second && {
        reason: 'growth',
        voters: [...target, first.daemon, second.daemon].sort(),
      }
    );
  }

  /** Moves a vote from an availability zone to one with two votes less. */
  #balanceZones(): VoterTargetChange | undefined {
    const {leader, replicaSet, target} = this.#input;
    const isSettled =
      replicaSet.voters.length === target.length &&
      replicaSet.voters.every(
        (voter) =>
          target.includes(voter.daemon) && !this.#isSilent(voter.daemon),
      );
    if (!isSettled) {
      return undefined;
    }
    const counts = this.#countVotes(target);
    const crowdedZone = getMostVotes(counts);
    const moved = target.find(
      (daemon) =>
        daemon !== leader && this.#getAvailabilityZone(daemon) === crowdedZone,
    );
    const chosen = this.#chooseCandidate(this.#getFreeCandidates(), target);
    if (
      moved === undefined ||
      chosen === undefined ||
      crowdedZone === undefined
    ) {
      return undefined;
    }
    const difference =
      (counts.get(crowdedZone) ?? 0) -
      (counts.get(chosen.availabilityZone) ?? 0);
    return difference < 2
      ? undefined
      : {
          reason: 'zoneBalance',
          voters: [
            ...target.filter((daemon) => daemon !== moved),
            chosen.daemon,
          ].sort(),
        };
  }

  /**
   * A target daemon without a replica in the set is lost once it is no candidate
   * any more; a voter is lost once it has been silent for long enough.
   */
  #isLost(daemon: DaemonName): boolean {
    const silence = this.#getSilence(daemon);
    if (silence === undefined) {
      return !this.#zones.has(daemon);
    }
    const {leader, target} = this.#input;
    const areOthersSilent = target.some(
      (other) => other !== daemon && other !== leader && this.#isSilent(other),
    );
    return (
      silence >=
      (areOthersSilent ? LOST_VOTERS_MILLISECONDS : LOST_VOTER_MILLISECONDS)
    );
  }

  #isSilent(daemon: DaemonName): boolean {
    return (this.#getSilence(daemon) ?? 0) >= SILENT_VOTER_MILLISECONDS;
  }

  /** Silence of a daemon's newest replica; undefined if none of them votes. */
  #getSilence(daemon: DaemonName): Milliseconds | undefined {
    const {getSilence, replicaSet} = this.#input;
    const silences = replicaSet.voters
      .filter((voter) => voter.daemon === daemon)
      .map(getSilence);
    return silences.length === 0 ? undefined : Math.min(...silences);
  }

  #getFreeCandidates(): readonly VoterCandidate[] {
    const {candidates, target} = this.#input;
    return candidates.filter(({daemon}) => !target.includes(daemon));
  }

  /**
   * Returns the candidate in the availability zone with the fewest votes. With a
   * size given, no zone may hold a majority of that many voters.
   */
  #chooseCandidate(
    candidates: readonly VoterCandidate[],
    voters: readonly DaemonName[],
    size?: number,
  ): undefined | VoterCandidate {
    const counts = this.#countVotes(voters);
    const learners = this.#input.replicaSet.learners;
    const getVotes = ({availabilityZone}: VoterCandidate) =>
      counts.get(availabilityZone) ?? 0;
    const getLearnerRank = ({daemon}: VoterCandidate) =>
      learners.some((learner) => learner.daemon === daemon) ? 0 : 1;
    return candidates
      .filter(
        (candidate) =>
          size === undefined || this.#isZoneAllowed(getVotes(candidate), size),
      )
      .toSorted(
        (left, right) =>
          getVotes(left) - getVotes(right) ||
          getLearnerRank(left) - getLearnerRank(right) ||
          (left.daemon < right.daemon ? -1 : 1),
      )[0];
  }

  #isZoneAllowed(votesInZone: number, size: number): boolean {
    const zones = new Set(this.#zones.values());
    return (
      zones.size < MINIMUM_ZONES_FOR_MAJORITY_RULE ||
      votesInZone + 1 <= Math.floor(size / 2)
    );
  }

  #countVotes(
    daemons: readonly DaemonName[],
  ): ReadonlyMap<AvailabilityZoneName, number> {
    const counts = new Map<AvailabilityZoneName, number>();
    for (const daemon of daemons) {
      const zone = this.#getAvailabilityZone(daemon);
      if (zone !== undefined) {
        counts.set(zone, (counts.get(zone) ?? 0) + 1);
      }
    }
    return counts;
  }

  #getAvailabilityZone(daemon: DaemonName): AvailabilityZoneName | undefined {
    return this.#zones.get(daemon) ?? this.#input.getAvailabilityZone(daemon);
  }
}

function getMostVotes(
  counts: ReadonlyMap<AvailabilityZoneName, number>,
): AvailabilityZoneName | undefined {
  return [...counts].toSorted(([, left], [, right]) => right - left)[0]?.[0];
}
