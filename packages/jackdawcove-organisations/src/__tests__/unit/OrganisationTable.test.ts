import t from 'tap';

import {OrganisationTable} from '../../OrganisationTable.js';

const TABLE = new OrganisationTable([
  {importance: 'high', keys: ['grocers-1', 'grocers-2'], name: 'grocers'},
  {keys: ['stalls-1'], name: 'stalls', requestsPerSecond: 5},
  {keys: [], name: 'depots'},
]);

const CASES: readonly (readonly [
  name: string,
  key: string,
  organisation: string | undefined,
])[] = [
  ['the first key of an organisation', 'grocers-1', 'grocers'],
  ['the second key of an organisation', 'grocers-2', 'grocers'],
  ['the key of another organisation', 'stalls-1', 'stalls'],
  ['an unknown key', 'depots-1', undefined],
  ['the beginning of a key', 'grocers-', undefined],
  ['a key in another case', 'GROCERS-1', undefined],
  ['the name of an organisation', 'grocers', undefined],
  ['an empty key', '', undefined],
];

for (const [name, key, organisation] of CASES) {
  t.test(name, async (t) => {
    t.equal(TABLE.find(key)?.name, organisation);
  });
}

t.test('an organisation that was found reveals no key', async (t) => {
  t.strictSame(TABLE.find('grocers-1'), {
    importance: 'high',
    keys: [],
    name: 'grocers',
  });
});
