/** Candidates apart by availability zone. */

import type {AvailabilityZoneName} from 'jackdawcove-shared';

/** An instance in an availability zone. */
type Zoned = {readonly availabilityZone: AvailabilityZoneName};

/** Candidates of the daemon's own availability zone, and of others. */
export type CandidatesByZone<Candidate> = {
  readonly far: readonly Candidate[];
  readonly near: readonly Candidate[];
};

/** Splits lists of candidates; a list that is given again is not split again. */
export class CandidateZones {
  readonly #availabilityZone: AvailabilityZoneName;
  readonly #known = new WeakMap<readonly Zoned[], CandidatesByZone<Zoned>>();

  constructor(availabilityZone: AvailabilityZoneName) {
    this.#availabilityZone = availabilityZone;
  }

  /**
   * Splits a list that does not change any more.
   *
   * @example
   * new CandidateZones('erie-dock').split(candidates).near;
   */
  split<Candidate extends Zoned>(
    candidates: readonly Candidate[],
  ): CandidatesByZone<Candidate> {
    const known = this.#known.get(candidates);
    if (known !== undefined) {
      return known as CandidatesByZone<Candidate>;
    }
    const isNear = ({availabilityZone}: Candidate): boolean =>
      availabilityZone === this.#availabilityZone;
    const zones = {
      far: candidates.filter((candidate) => !isNear(candidate)),
      near: candidates.filter(isNear),
    };
    this.#known.set(candidates, zones);
    return zones;
  }
}
