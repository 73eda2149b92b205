import type {Organisation} from '../../Organisation.js';

import t from 'tap';

import {findOrganisationFaults} from '../../findOrganisationFaults.js';

const GROCERS: Organisation = {
  burst: 20,
  importance: 'high',
  keys: ['grocers-1', 'grocers-2'],
  name: 'grocers',
  requestsPerSecond: 10,
};
const STALLS: Organisation = {keys: [], name: 'stalls'};

const CASES: readonly (readonly [
  name: string,
  organisations: readonly Organisation[],
  expected: readonly RegExp[],
])[] = [
  ['no organisation has no fault', [], []],
  ['valid organisations have no fault', [GROCERS, STALLS], []],
  [
    'a key that two organisations hold is a fault',
    [GROCERS, {...STALLS, keys: ['stalls-1', 'grocers-2']}],
    [/^organisations\.stalls\.keys\.1: .* organisations\.grocers\.keys\.1$/],
  ],
  [
    'a key that one organisation holds twice is a fault',
    [{...STALLS, keys: ['stalls-1', 'stalls-1']}],
    [/^organisations\.stalls\.keys\.1: .* organisations\.stalls\.keys\.0$/],
  ],
  [
    'an empty key is a fault',
    [{...STALLS, keys: ['']}],
    [/^organisations\.stalls\.keys\.0: is empty$/],
  ],
  [
    'a name that occurs twice is a fault',
    [GROCERS, {...STALLS, name: 'grocers'}],
    [/^organisations\.grocers: occurs twice$/],
  ],
  [
    'a name that would end a header line is a fault',
    [{...STALLS, name: 'stalls\r\nx: y'}],
    [/^organisations\."stalls\\r\\nx: y": invalid name$/],
  ],
  [
    'a negative rate is a fault',
    [{...STALLS, requestsPerSecond: -1}],
    [/^organisations\.stalls\.requestsPerSecond: /],
  ],
  [
    'a rate that is not finite is a fault',
    [{...STALLS, requestsPerSecond: Number.POSITIVE_INFINITY}],
    [/^organisations\.stalls\.requestsPerSecond: /],
  ],
  [
    'a negative burst is a fault',
    [{...GROCERS, burst: -1}],
    [/^organisations\.grocers\.burst: /],
  ],
  [
    'a burst without a rate is a fault',
    [{...STALLS, burst: 5}],
    [/^organisations\.stalls\.burst: needs requestsPerSecond/],
  ],
  [
    'a burst beside a rate of 0 is a fault',
    [{...GROCERS, requestsPerSecond: 0}],
    [/^organisations\.grocers\.burst: needs requestsPerSecond/],
  ],
];

for (const [name, organisations, expected] of CASES) {
  t.test(name, async (t) => {
    const faults = findOrganisationFaults(organisations);
    t.equal(faults.length, expected.length);
    expected.forEach((pattern, index) => {
      t.match(faults[index], pattern);
    });
    t.notMatch(faults.join(' '), /grocers-|stalls-1/);
  });
}
