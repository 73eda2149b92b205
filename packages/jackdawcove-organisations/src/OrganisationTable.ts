/** Look-up of the organisation that holds a key. */

import type {Organisation} from 'jackdawcove-routes';

import {createHash} from 'node:crypto';

function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}

/**
 * Immutable table of organisations by key. It holds digests of the keys: neither its
 * memory nor the time of a look-up reveals a key.
 */
export class OrganisationTable {
  readonly #byDigest: ReadonlyMap<string, Organisation>;

  constructor(organisations: readonly Organisation[]) {
    this.#byDigest = new Map(
      organisations.flatMap(({keys, ...organisation}) =>
        keys.map((key) => [digestKey(key), {...organisation, keys: []}]),
      ),
    );
  }

  /**
   * Returns the organisation that holds a key, without its keys, or undefined.
   *
   * @example
   * table.find('grocers-key-1')?.name; // 'grocers'
   */
  find(key: string): Organisation | undefined {
    return this.#byDigest.get(digestKey(key));
  }
}
