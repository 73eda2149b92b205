import type {AccessDecision, AccessRequest} from '../../decideAccess.js';

import t from 'tap';

import {ConfigurationFreshness} from '../../ConfigurationFreshness.js';
import {decideAccess} from '../../decideAccess.js';
import {OrganisationTable} from '../../OrganisationTable.js';

const TABLE = new OrganisationTable([{keys: ['key-1'], name: 'grocers'}]);
const GROCERS = TABLE.find('key-1') ?? 'unauthenticated';
const REQUEST: AccessRequest = {
  isCallOfInstance: false,
  isPublic: false,
  key: undefined,
};
const KNOWN = {...REQUEST, key: 'key-1'};
const UNKNOWN = {...REQUEST, key: 'key-2'};

/** Age of the confirmation; undefined: freshness is not asked for. */
const CASES: readonly (readonly [
  name: string,
  request: AccessRequest,
  ageMilliseconds: number | undefined,
  expected: AccessDecision,
])[] = [
  ['a known key', KNOWN, undefined, GROCERS],
  ['an unknown key', UNKNOWN, undefined, 'unauthenticated'],
  ['no key', REQUEST, undefined, 'unauthenticated'],
  ['a malformed key', {...REQUEST, key: ''}, undefined, 'unauthenticated'],
  ['a known key, confirmed', KNOWN, 4_400, GROCERS],
  ['a known key, not confirmed', KNOWN, 4_600, 'configurationNotConfirmed'],
  ['an unknown key, just confirmed', UNKNOWN, 1_400, 'unauthenticated'],
  [
    'an unknown key that may be new',
    UNKNOWN,
    1_600,
    'configurationNotConfirmed',
  ],
  ['no key, not confirmed', REQUEST, 60_000, 'unauthenticated'],
  [
    'a call, not confirmed',
    {...REQUEST, isCallOfInstance: true},
    60_000,
    'open',
  ],
  [
    'an open route, not confirmed',
    {...REQUEST, isPublic: true},
    60_000,
    'open',
  ],
  ['an open route with a known key', {...KNOWN, isPublic: true}, 0, GROCERS],
  [
    'an open route with an unknown key',
    {...UNKNOWN, isPublic: true},
    0,
    'open',
  ],
  [
    'an open route with a key that may be removed',
    {...KNOWN, isPublic: true},
    60_000,
    'open',
  ],
  [
    'a call with a malformed key',
    {...REQUEST, isCallOfInstance: true, key: ''},
    0,
    'unauthenticated',
  ],
];

function createFreshness(age: number): ConfigurationFreshness {
  const freshness = new ConfigurationFreshness({
    firstNumber: 0,
    getAppliedRevision: () => 7,
    revocationMilliseconds: 5_000,
  });
  freshness.recordLeadership({at: 100_000 - age, revision: 7}, MOMENT);
  return freshness;
}

const MOMENT = {now: 100_000, wallTime: 900_000};

for (const [name, request, age, expected] of CASES) {
  t.test(name, async (t) => {
    const freshness = age === undefined ? undefined : createFreshness(age);
    t.same(decideAccess(request, TABLE, freshness, MOMENT), expected);
  });
}
