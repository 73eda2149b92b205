/** Check of a proposed set of voters. */

import type {FleetMember} from './ConfigurationService.js';
import type {DaemonName, Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {MINIMUM_ZONES_FOR_MAJORITY_RULE} from 'jackdawcove-revision';
import {createFailure} from 'jackdawcove-shared';
import {err, ok} from 'true-myth/result';

/** Input of `checkVoterNames`. */
export type VoterCheckInput = {
  /** Returns whether a daemon runs a replica that may vote. */
  readonly isCandidate: (daemon: DaemonName) => boolean;
  readonly members: readonly FleetMember[];
  readonly voters: readonly DaemonName[];
};

function isMajority(count: number, total: number): boolean {
  return count > Math.floor(total / 2);
}

function findMajorityZone(
  voterMembers: readonly FleetMember[],
  members: readonly FleetMember[],
): string | undefined {
  const zones = [...new Set(members.map((member) => member.availabilityZone))];
  return zones.length < MINIMUM_ZONES_FOR_MAJORITY_RULE
    ? undefined
    : zones.find((zone) => {
        const inZone = voterMembers.filter(
          (member) => member.availabilityZone === zone,
        );
        return isMajority(inZone.length, voterMembers.length);
      });
}

/**
 * Fails with `unsafeVoterChange` if a proposed voter runs no replica, if no
 * majority of the voters is reachable, or if one of at least three availability
 * zones would hold a majority.
 *
 * @example
 * checkVoterNames({isCandidate, members, voters: ['erie-1', 'huron-1', 'ontario-1']});
 */
export function checkVoterNames(
  input: VoterCheckInput,
): Result<undefined, Failure> {
  const refuse = (detail: string) =>
    err<undefined, Failure>(createFailure('unsafeVoterChange', detail));
  const {isCandidate, members, voters} = input;
  const nonCandidate = voters.find((daemon) => !isCandidate(daemon));
  if (nonCandidate !== undefined) {
    return refuse(`${nonCandidate} has not announced a replica`);
  }
  const voterMembers = members.filter(({daemon}) => voters.includes(daemon));
  const reachable = voterMembers.filter((member) => member.isReachable);
  if (!isMajority(reachable.length, voters.length)) {
    return refuse('no majority of the voters would be in reach');
  }
  const zone = findMajorityZone(voterMembers, members);
  return zone === undefined
    ? ok(undefined)
    : refuse(`${zone} would hold a majority of the voters`);
}
