import type {LedgerMessage} from '../../index.js';

import t from 'tap';

import {decodeLedgerMessage, encodeLedgerMessage} from '../../index.js';

const KEY = 'AYkKXayWd0u8zrMCCZqAVw';
const ATTEMPT = {incarnation: 7, owner: 'vm-1', sequence: 3};
const FINGERPRINT = '0123456789abcdef';

const MESSAGES: readonly LedgerMessage[] = [
  {
    attempt: ATTEMPT,
    fingerprint: FINGERPRINT,
    generation: 2,
    key: KEY,
    kind: 'claim',
    slice: 5,
    superseded: [{...ATTEMPT, sequence: 2}],
    zone: 'erie-dock',
  },
  {
    claimantIncarnation: 7,
    generation: 2,
    incarnation: 9,
    key: KEY,
    kind: 'claimAnswer',
    sequence: 3,
  },
  {
    claimantIncarnation: 7,
    generation: 2,
    held: {...ATTEMPT, fingerprint: FINGERPRINT, state: 'released'},
    incarnation: 9,
    key: KEY,
    kind: 'claimAnswer',
    refusal: 'epochChanged',
    sequence: 3,
  },
  {
    completions: [{key: KEY, sequence: 3, state: 'ran'}],
    incarnation: 7,
    kind: 'completions',
  },
  {
    asker: ATTEMPT,
    attempt: ATTEMPT,
    fingerprint: FINGERPRINT,
    key: KEY,
    kind: 'inquiry',
  },
];

for (const message of MESSAGES) {
  t.test(`${message.kind} decodes to what was encoded`, async (t) => {
    t.same(decodeLedgerMessage(encodeLedgerMessage(message)), message);
  });
}

const MALFORMED: readonly {name: string; value: unknown}[] = [
  {name: 'undefined', value: undefined},
  {name: 'unknown kind', value: {kind: 'grant'}},
  {name: 'unknown message number', value: [9, 1]},
  {name: 'claim with missing fields', value: [0, ['vm-1', 1, 1]]},
  {name: 'invalid state', value: [2, 1, [[KEY, 1, 3]]]},
];

for (const {name, value} of MALFORMED) {
  t.test(`malformed message is not decoded: ${name}`, async (t) => {
    t.equal(decodeLedgerMessage(value), undefined);
  });
}
