/** Check of the daemons that shall vote. */

import type {FleetMember} from './ConfigurationService.js';
import type {DaemonName, Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {createFailure} from 'jackdawcove-shared';
import {err, ok} from 'true-myth/result';

import {ZONES_FOR_SPREAD_VOTERS} from './ControlConstants.js';

/** What the check looks at. */
export type VoterCheckInput = {
  /** Whether a daemon runs a replica that may vote. */
  readonly isCandidate: (daemon: DaemonName) => boolean;
  readonly members: readonly FleetMember[];
  readonly voters: readonly DaemonName[];
};

function isMajority(count: number, total: number): boolean {
  return count > Math.floor(total / 2);
}

function findCrowdedZone(
  chosen: readonly FleetMember[],
  members: readonly FleetMember[],
): string | undefined {
  const zones = [...new Set(members.map((member) => member.availabilityZone))];
  return zones.length < ZONES_FOR_SPREAD_VOTERS
    ? undefined
    : zones.find((zone) => {
        const inZone = chosen.filter(
          (member) => member.availabilityZone === zone,
        );
        return isMajority(inZone.length, chosen.length);
      });
}

/**
 * Refuses voters that cannot vote, of whom no majority is in reach, or of whom
 * one availability zone would hold the majority.
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
  const unfit = voters.find((daemon) => !isCandidate(daemon));
  if (unfit !== undefined) {
    return refuse(`${unfit} has not announced a replica`);
  }
  const chosen = members.filter(({daemon}) => voters.includes(daemon));
  const reachable = chosen.filter((member) => member.isReachable);
  if (!isMajority(reachable.length, voters.length)) {
    return refuse('no majority of the voters would be in reach');
  }
  const zone = findCrowdedZone(chosen, members);
  return zone === undefined
    ? ok(undefined)
    : refuse(`${zone} would hold a majority of the voters`);
}
