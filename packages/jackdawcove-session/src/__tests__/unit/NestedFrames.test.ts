/** Tests frames whose fields are nested deeper than the stack. */

import {Decoder, Encoder} from 'cbor-x';
import t from 'tap';

import {decodeFrame} from '../../FrameCodec.js';

const CBOR_ARRAY_OF_ONE = 0x81;
const CBOR_MAP_OF_ONE = 0xa1;
const CBOR_TAGGED = 0xd8;
const DEPTH = 500_000;

t.test('nested fields are refused and leave the decoder usable', async (t) => {
  const decoder = new Decoder({tagUint8Array: false, useRecords: false});
  const encoder = new Encoder({tagUint8Array: false, useRecords: false});
  const createRaw = (fields: Uint8Array) => ({
    body: new Uint8Array(),
    fields,
    sequence: 1,
    tag: 0,
  });
  for (const byte of [CBOR_ARRAY_OF_ONE, CBOR_MAP_OF_ONE, CBOR_TAGGED]) {
    const nested = createRaw(new Uint8Array(DEPTH).fill(byte));
    t.ok(decodeFrame(decoder, nested).isErr, `byte ${String(byte)}`);
    const sound = decodeFrame(decoder, createRaw(encoder.encode([0, 3])));
    t.notMatch(String(sound), /RangeError|Unexpected/);
    t.same(decoder.decode(encoder.encode([0, {a: 3}])), [0, {a: 3}]);
  }
});
