import t from 'tap';

import {SentBytes} from '../../SentBytes.js';

const CASES = [
  {added: [], name: 'nothing', taken: []},
  {
    added: [
      ['vm-2', 'offer', 10],
      ['vm-2', 'offer', 5],
      ['vm-2', 'answer', 7],
      ['vm-3', 'offer', 1],
    ],
    name: 'sums by destination and kind',
    taken: [
      {byteCount: 15, destination: 'vm-2', kind: 'offer'},
      {byteCount: 7, destination: 'vm-2', kind: 'answer'},
      {byteCount: 1, destination: 'vm-3', kind: 'offer'},
    ],
  },
] as const;

for (const {added, name, taken} of CASES) {
  t.test(name, async (t) => {
    const sentBytes = new SentBytes();
    for (const [destination, kind, byteCount] of added) {
      sentBytes.add(destination, kind, byteCount);
    }
    t.same(sentBytes.take(), taken);
    t.same(sentBytes.take(), [], 'counts are taken once');
  });
}
