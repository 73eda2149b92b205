import type {TestEndpoint, TestEndpointOptions} from '../utils/coreFixtures.js';

import fc from 'fast-check';
import t from 'tap';

import {
  createFrameDecoder,
  createFrameEncoder,
  decodeFrame,
  encodeFrame,
  FrameSplitter,
} from '../../FrameCodec.js';
import {
  createEndpoint,
  getCloseResult,
  openSession,
  recordEffects,
  settle,
} from '../utils/coreFixtures.js';
import {createHead} from '../utils/poolFixtures.js';

const SEED = 11;
const HEADER_BYTES = 16;

function encodeOpenCall(initiator: TestEndpoint): Buffer {
  const {outgoing} = initiator.core;
  const callNumber = outgoing.getNextCallNumber();
  outgoing.open(createHead(`attempt ${String(callNumber)}`));
  outgoing.addRequestBytes(callNumber, Buffer.from('crate'));
  outgoing.endRequest(callNumber);
  recordEffects(initiator, initiator.core.flush(1));
  return Buffer.concat(initiator.sent.splice(0));
}

function withField(bytes: Buffer, offset: number, value: number): Buffer {
  const changed = Buffer.from(bytes);
  changed.writeUInt32BE(value, offset);
  return changed;
}

function encodeMistypedFrame(bytes: Buffer, kind: string): Buffer {
  const sequence = bytes.readUInt32BE(8);
  const tag = bytes.readUInt32BE(4);
  const fields = {callNumber: 'seven', kind} as never;
  return Buffer.concat(
    encodeFrame(createFrameEncoder(), 'callBody', fields, tag, sequence),
  );
}

const FAULTS: readonly {
  readonly fault: string;
  readonly feed: (frame: Buffer) => readonly Buffer[];
  readonly result: string;
}[] = [
  {
    fault: 'length above the limit',
    feed: (frame) => [withField(frame, 0, 0x7fff_ffff)],
    result: 'frameTooLong',
  },
  {
    fault: 'length below the header',
    feed: (frame) => [withField(frame, 0, 3)],
    result: 'frameMalformed',
  },
  {
    fault: 'fields longer than the frame',
    feed: (frame) => [withField(frame, 12, 1 << 20)],
    result: 'frameMalformed',
  },
  {
    fault: 'tag of another session',
    feed: (frame) => [withField(frame, 4, 7)],
    result: 'frameReplayed',
  },
  {
    fault: 'frame sent twice',
    feed: (frame) => [frame, frame],
    result: 'frameReplayed',
  },
  {
    fault: 'call number used twice under a new sequence number',
    feed: (frame) => [frame, withField(frame, 8, frame.readUInt32BE(8) + 1)],
    result: 'frameReplayed',
  },
  {
    fault: 'frame skipped',
    feed: (frame) => [withField(frame, 8, frame.readUInt32BE(8) + 1)],
    result: 'frameReplayed',
  },
  {
    fault: 'field of the wrong type',
    feed: (frame) => [encodeMistypedFrame(frame, 'callBody')],
    result: 'frameMalformed',
  },
  {
    fault: 'fields that are not CBOR',
    feed: (frame) => {
      const changed = Buffer.from(frame);
      changed.fill(0xff, HEADER_BYTES, HEADER_BYTES + 40);
      return [changed];
    },
    result: 'frameMalformed',
  },
];

t.test('an invalid frame closes its session with a result code', async (t) => {
  for (const {fault, feed, result} of FAULTS) {
    const {acceptor, initiator} = openSession();
    for (const bytes of feed(encodeOpenCall(initiator))) {
      recordEffects(acceptor, acceptor.core.receive(bytes));
    }
    t.equal(getCloseResult(acceptor), result, fault);
    t.equal(acceptor.core.receive(Buffer.alloc(64)).length, 0, 'stays closed');
  }
});

const HANDSHAKES: readonly {
  readonly acceptor: TestEndpointOptions;
  readonly initiator: TestEndpointOptions;
  readonly name: string;
  readonly result: string | undefined;
}[] = [
  {acceptor: {}, initiator: {}, name: 'same key', result: undefined},
  {
    acceptor: {fleetKeys: {current: 'other'}},
    initiator: {},
    name: 'wrong key',
    result: 'authenticationFailed',
  },
  {
    acceptor: {fleetKeys: {current: 'new', previous: 'old'}},
    initiator: {fleetKeys: {current: 'old'}},
    name: 'acceptor rotated its key first',
    result: undefined,
  },
  {
    acceptor: {fleetKeys: {current: 'old'}},
    initiator: {fleetKeys: {current: 'new', previous: 'old'}},
    name: 'initiator rotated its key first',
    result: undefined,
  },
  {
    acceptor: {fleetKeys: {current: 'new'}},
    initiator: {fleetKeys: {current: 'old'}},
    name: 'old key after the rotation',
    result: 'authenticationFailed',
  },
  {
    acceptor: {version: 2},
    initiator: {},
    name: 'different protocol version',
    result: 'protocolVersionMismatch',
  },
  {
    acceptor: {},
    initiator: {expectedName: 'somebody'},
    name: 'another daemon at the address',
    result: 'daemonUnreachable',
  },
  {
    acceptor: {name: 'same'},
    initiator: {name: 'same'},
    name: 'both ends have the same name',
    result: 'daemonUnreachable',
  },
];

t.test('a session opens only between daemons of one fleet', async (t) => {
  for (const {acceptor, initiator, name, result} of HANDSHAKES) {
    const endpoints = openSession(initiator, acceptor);
    t.equal(getCloseResult(endpoints.initiator), result, name);
    const phase = result === undefined ? 'open' : 'closed';
    t.equal(endpoints.initiator.core.getPhase(), phase, `${name}: phase`);
  }
});

t.test('a replayed handshake does not open a second session', async (t) => {
  const initiator = createEndpoint('initiator');
  const acceptor = createEndpoint('acceptor');
  recordEffects(initiator, initiator.core.start());
  const recorded = [...initiator.sent];
  settle(initiator, acceptor);
  const second = createEndpoint('acceptor', {nonceSeed: 'second'});
  for (const bytes of recorded) {
    recordEffects(second, second.core.receive(bytes));
  }
  const established = openSession().initiator;
  recordEffects(second, second.core.receive(encodeOpenCall(established)));
  t.equal(second.core.getPhase(), 'closed');
});

t.test('a stalled handshake is closed', async (t) => {
  for (const role of ['acceptor', 'initiator'] as const) {
    const endpoint = createEndpoint(role);
    recordEffects(endpoint, endpoint.core.start());
    recordEffects(endpoint, endpoint.core.tick(999));
    t.equal(getCloseResult(endpoint), undefined);
    recordEffects(endpoint, endpoint.core.tick(1_000));
    t.equal(getCloseResult(endpoint), 'daemonUnreachable');
  }
});

t.test(
  'frames are complete however the stream is split into chunks',
  async () => {
    const chunks = fc.array(fc.integer({max: 40, min: 1}), {maxLength: 60});
    const bodies = fc.array(fc.uint8Array({maxLength: 80}), {minLength: 1});
    fc.assert(
      fc.property(bodies, chunks, (parts, sizes) => {
        const decoder = createFrameDecoder();
        const encoder = createFrameEncoder();
        const stream = Buffer.concat(
          parts.flatMap((body, index) => [
            ...encodeFrame(
              encoder,
              'callBody',
              {callNumber: index},
              9,
              index,
              body,
            ),
          ]),
        );
        const splitter = new FrameSplitter(1_024);
        const seen: string[] = [];
        let offset = 0;
        for (const size of [...sizes, stream.length]) {
          const split = splitter.push(stream.subarray(offset, offset + size));
          offset += size;
          for (const raw of split.unwrapOr([])) {
            const frame = decodeFrame(decoder, raw).unwrapOr(
              undefined as never,
            );
            seen.push(Buffer.from(frame.body).toString('hex'));
          }
        }
        const expected = parts.map((body) => Buffer.from(body).toString('hex'));
        return seen.join() === expected.join();
      }),
      {seed: SEED},
    );
  },
);

t.test('a core does not throw on corrupted bytes', async () => {
  const mutations = fc.array(
    fc.tuple(fc.nat(), fc.integer({max: 255, min: 0})),
    {maxLength: 6, minLength: 1},
  );
  fc.assert(
    fc.property(mutations, (changes) => {
      const {acceptor, initiator} = openSession();
      const frame = encodeOpenCall(initiator);
      for (const [position, value] of changes) {
        frame[position % frame.length] = value;
      }
      recordEffects(acceptor, acceptor.core.receive(frame));
      recordEffects(acceptor, acceptor.core.flush(1_000));
    }),
    {numRuns: 500, seed: SEED},
  );
});

t.test('messages of any shape arrive unchanged', async () => {
  const value = fc.dictionary(
    fc.constantFrom(...'abcdefghijklmnopqrstuvwxyz0123456789'),
    fc.oneof(fc.integer(), fc.string(), fc.array(fc.boolean())),
  );
  fc.assert(
    fc.property(fc.array(value, {maxLength: 400}), (messages) => {
      const {acceptor, initiator} = openSession();
      for (const message of messages) {
        initiator.core.sendMessage('ledger', message);
      }
      settle(initiator, acceptor);
      const seen = acceptor.effects.flatMap((effect) =>
        effect.kind === 'message' ? [effect.message] : [],
      );
      return (
        fc.stringify(seen.map(normalize)) ===
        fc.stringify(messages.map(normalize))
      );
    }),
    {numRuns: 60, seed: SEED},
  );
});

function normalize(message: unknown): unknown {
  return Object.entries(message as object).sort();
}
