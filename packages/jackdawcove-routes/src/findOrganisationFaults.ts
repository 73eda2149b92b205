/** Validation of a set of organisations beyond the schema of a single one. */

import type {Organisation} from './Organisation.js';

import {isOrganisationName} from './Organisation.js';

function isRate(value: number | undefined): boolean {
  return value === undefined || (Number.isFinite(value) && value >= 0);
}

function findQuotaFaults({
  burst,
  name,
  requestsPerSecond,
}: Organisation): readonly string[] {
  const path = `organisations.${name}`;
  const faults: string[] = [];
  if (!isRate(requestsPerSecond)) {
    faults.push(`${path}.requestsPerSecond: must be a number of 0 or more`);
  }
  if (!isRate(burst)) {
    faults.push(`${path}.burst: must be a number of 0 or more`);
  }
  if ((burst ?? 0) !== 0 && (requestsPerSecond ?? 0) === 0) {
    faults.push(`${path}.burst: needs requestsPerSecond above 0`);
  }
  return faults;
}

/**
 * Returns one line per fault, with its path and without any key: a name that no
 * header can hold or that occurs twice, an empty key, a key that occurs twice, a rate
 * or burst that is negative or not finite, a burst without a rate.
 *
 * @example
 * findOrganisationFaults([{keys: [''], name: 'grocers'}]);
 * // ['organisations.grocers.keys.0: is empty']
 */
export function findOrganisationFaults(
  organisations: readonly Organisation[],
): readonly string[] {
  const faults: string[] = [];
  const names = new Set<string>();
  const pathByKey = new Map<string, string>();
  for (const organisation of organisations) {
    const {keys, name} = organisation;
    if (!isOrganisationName(name)) {
      faults.push(`organisations.${JSON.stringify(name)}: invalid name`);
    }
    if (names.has(name)) {
      faults.push(`organisations.${name}: occurs twice`);
    }
    names.add(name);
    for (const [index, key] of keys.entries()) {
      const path = `organisations.${name}.keys.${String(index)}`;
      const other = pathByKey.get(key);
      if (key === '') {
        faults.push(`${path}: is empty`);
      } else if (other !== undefined) {
        faults.push(`${path}: is the same key as ${other}`);
      }
      pathByKey.set(key, path);
    }
    faults.push(...findQuotaFaults(organisation));
  }
  return faults;
}
