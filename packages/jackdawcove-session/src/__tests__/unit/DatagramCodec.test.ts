import t from 'tap';

import {DatagramCodec} from '../../DatagramCodec.js';

const LEFT = {incarnation: 1, name: 'left'};
const RIGHT_ADDRESS = {host: '127.0.0.1', port: 7_000};
const REPLAY_WINDOW = 64;
const OTHER_ADDRESS = {host: '127.0.0.1', port: 7_001};

function createCodec(name: string, keys: {current: string; previous?: string}) {
  return new DatagramCodec({incarnation: 1, name}, keys);
}

function encode(codec: DatagramCodec): Uint8Array {
  return codec
    .encode(RIGHT_ADDRESS, 'membership', {probe: 7})
    .unwrapOr(new Uint8Array());
}

const CASES: readonly {
  readonly alter?: (bytes: Uint8Array) => Uint8Array;
  readonly receivedAt?: typeof RIGHT_ADDRESS;
  readonly keys?: {current: string; previous?: string};
  readonly name: string;
  readonly receiver?: string;
  readonly result: string;
}[] = [
  {name: 'intact', result: 'accepted'},
  {
    keys: {current: 'new', previous: 'fleet'},
    name: 'previous key',
    result: 'accepted',
  },
  {
    keys: {current: 'new'},
    name: 'wrong key',
    result: 'authenticationFailed',
  },
  {
    alter: (bytes) => bytes.with(20, (bytes[20] ?? 0) ^ 1),
    name: 'altered',
    result: 'authenticationFailed',
  },
  {
    alter: (bytes) => bytes.subarray(0, 12),
    name: 'truncated',
    result: 'authenticationFailed',
  },
  {
    name: 'sent to another daemon',
    receivedAt: OTHER_ADDRESS,
    result: 'frameReplayed',
  },
  {name: 'reflected', receiver: 'left', result: 'frameReplayed'},
];

t.test(
  'a datagram is accepted only unaltered and at its destination',
  async (t) => {
    for (const {alter, keys, name, receivedAt, receiver, result} of CASES) {
      const sender = new DatagramCodec(LEFT, {current: 'fleet'});
      const codec = createCodec(
        receiver ?? 'right',
        keys ?? {current: 'fleet'},
      );
      const bytes = alter?.(encode(sender)) ?? encode(sender);
      const decoded = codec.decode(bytes, receivedAt ?? RIGHT_ADDRESS);
      const outcome = decoded.isOk ? 'accepted' : decoded.error.result;
      t.equal(outcome, result, name);
    }
  },
);

t.test('a datagram is accepted only once, in any order', async (t) => {
  const sender = new DatagramCodec(LEFT, {current: 'fleet'});
  const codec = createCodec('right', {current: 'fleet'});
  const datagrams = Array.from({length: 3_000}, () => encode(sender));
  const accepted = [...datagrams.slice(0, REPLAY_WINDOW)]
    .reverse()
    .concat(datagrams.slice(0, 2_500), datagrams.slice(0, 2_500))
    .filter((bytes) => codec.decode(bytes, RIGHT_ADDRESS).isOk).length;
  t.equal(accepted, 2_500);
  const expectations: readonly (readonly [number, boolean])[] = [
    [2_600, true],
    [2_600 - REPLAY_WINDOW, false],
    [2_601 - REPLAY_WINDOW, true],
    [2_601 - REPLAY_WINDOW, false],
  ];
  for (const [index, isAccepted] of expectations) {
    const bytes = datagrams[index] ?? Buffer.of();
    t.equal(codec.decode(bytes, RIGHT_ADDRESS).isOk, isAccepted);
  }
  const restarted = new DatagramCodec(
    {...LEFT, incarnation: 2},
    {current: 'fleet'},
  );
  t.ok(codec.decode(encode(restarted), RIGHT_ADDRESS).isOk);
  const late = datagrams[2_900] ?? Buffer.of();
  t.notOk(
    codec.decode(late, RIGHT_ADDRESS).isOk,
    'datagram of the previous process',
  );
});
