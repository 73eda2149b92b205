import type {RelayPacket} from '../../packets/RelayPackets.js';

import {decode, encode} from 'cbor-x';
import fc from 'fast-check';
import t from 'tap';

import {decodeLoad} from '../../packets/InstanceLoad.js';
import {decodePacket, encodePacket} from '../../packets/RelayPackets.js';

const LOAD = {
  condition: undefined,
  limit: 37,
  queued: 2,
  running: 37,
  threshold: 2_400,
};

const PACKETS: readonly RelayPacket[] = [
  {attempt: 1, callerIncarnation: 1_764_806_400_000, kind: 'cancel'},
  {
    attempt: 2,
    body: Buffer.from('crate'),
    callerIncarnation: 7,
    daemonIncarnation: 8,
    forwardedLines: 'host: a.example\r\n',
    instance: 'i-1',
    isIdempotent: false,
    isRepeat: true,
    isResent: false,
    kind: 'offer',
    maximumQueueingMilliseconds: 300,
    method: 'POST',
    path: '/a/',
    remainingMilliseconds: 900,
    requestIdentifier: 'r1',
    requestsPerSecond: undefined,
    role: 'other',
    shedRank: 1_017,
  },
  {
    attempt: 3,
    body: Buffer.alloc(0),
    failedCalls: 1,
    forwardedLines: '',
    isLast: true,
    kind: 'answer',
    load: LOAD,
    runMilliseconds: 12,
    status: 500,
  },
  {
    attempt: 3 * 2 ** 50,
    body: Buffer.from('part'),
    failedCalls: 0,
    forwardedLines: '',
    isLast: false,
    kind: 'answer',
    load: LOAD,
    partNumber: 2,
    runMilliseconds: 12,
    status: 200,
  },
  {
    attempt: 4,
    kind: 'failure',
    load: LOAD,
    mayHaveRun: true,
    reason: 'broken',
  },
  {
    attempt: 5,
    kind: 'failure',
    load: {
      ...LOAD,
      condition: {
        isLeaving: false,
        requestsPerSecond: undefined,
        startDelayMilliseconds: 0,
      },
    },
    mayHaveRun: false,
    reason: 'full',
  },
  {
    attempt: 6,
    kind: 'failure',
    load: {
      ...LOAD,
      condition: {
        isLeaving: false,
        requestsPerSecond: 5.6,
        startDelayMilliseconds: 180,
      },
    },
    mayHaveRun: false,
    reason: 'full',
  },
  {
    attempt: 7,
    kind: 'failure',
    load: {
      ...LOAD,
      condition: {
        isLeaving: true,
        requestsPerSecond: undefined,
        startDelayMilliseconds: 0,
      },
    },
    mayHaveRun: false,
    reason: 'draining',
  },
];

const OPTIONAL_FIELDS = [
  {requestsPerSecond: 5.6},
  {role: 'request'},
  {role: 'retry'},
  {requestsPerSecond: 5.6, role: 'retry'},
];

for (const fields of OPTIONAL_FIELDS) {
  t.test(
    `optional fields of an offer: ${JSON.stringify(fields)}`,
    async (t) => {
      const offer = PACKETS.find(({kind}) => kind === 'offer');
      const extended = {...offer, ...fields} as RelayPacket;
      t.same(decodePacket(encodePacket(extended)), extended);
    },
  );
}

for (const packet of PACKETS) {
  t.test(`${packet.kind} packet survives encoding and decoding`, async (t) => {
    t.same(decodePacket(encodePacket(packet)), packet);
  });
}

/** Position of the first optional field of an offer. */
const OPTIONAL_START = 15;

t.test('fields of earlier versions are ignored', async (t) => {
  const offer = PACKETS.find(({kind}) => kind === 'offer');
  const extended = {...offer, requestsPerSecond: 5.6, role: 'retry'};
  const bytes = encodePacket(extended as RelayPacket);
  const end = 4 + bytes.readUInt32BE(0);
  const fields = decode(bytes.subarray(4, end)) as unknown[];
  t.equal(fields[OPTIONAL_START], 5.6);
  // The mean run time of the route.
  fields[OPTIONAL_START + 1] = 40;
  const encoded = encode(fields);
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(encoded.length);
  const earlier = Buffer.concat([prefix, encoded, bytes.subarray(end)]);
  t.same(decodePacket(earlier), extended);
  const load = {
    condition: {
      isLeaving: false,
      requestsPerSecond: undefined,
      startDelayMilliseconds: 0,
    },
    limit: 37,
    queued: 2,
    running: 37,
    threshold: 2_400,
  };
  // The last two are the work left and the slowness of the instance.
  t.same(decodeLoad([37, 2, 37, 2_400, null, 0, 0, 500, 120]), load);
});

t.test('malformed bytes are not decoded', async (t) => {
  t.equal(decodePacket(Buffer.alloc(0)), undefined);
  const [cancel] = PACKETS;
  const bytes = cancel && encodePacket(cancel);
  for (let length = 0; length < (bytes?.length ?? 0); length += 1) {
    t.equal(
      decodePacket(bytes?.subarray(0, length) ?? Buffer.alloc(0)),
      undefined,
    );
  }
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 64}), (noise) => {
      decodePacket(noise);
    }),
  );
});
