/** Tests requests whose offers are longer than a frame of a session may be. */

import {MAXIMUM_FRAME_BYTES} from 'jackdawcove-session';
import t from 'tap';

import {answerWith, startRelayPair} from '../fixtures/RelayBench.js';

// Guards against offers that close the session of all other requests (review/3).
const BODIES = [
  {bodyBytes: 900_000, isLocal: false, name: 'that fits', status: 200},
  {
    bodyBytes: 1_048_576,
    isLocal: false,
    name: 'that does not fit',
    status: 503,
  },
  {
    bodyBytes: 16_000_000,
    isLocal: true,
    name: 'that does not fit, with a local instance',
    status: 200,
  },
] as const;

for (const {bodyBytes, isLocal, name, status} of BODIES) {
  t.test(`a body ${name} into a frame of a session`, async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    if (isLocal) {
      await client.announce(4);
      bench.candidates.push(client);
    }
    const target = isLocal ? client : first;
    target.behaviour = (socket, head) => {
      if (head.startsWith('GET')) {
        answerWith('stored')(socket, head);
      }
    };
    let longest = 0;
    bench.network.beforePacket = (_from, _to, byteCount) => {
      longest = Math.max(longest, byteCount);
    };
    const {answer} = bench.sendRequest(client, {bodyBytes});
    const received = await answer;
    t.equal(received.status, status);
    t.equal(
      received.result,
      status === 200 ? undefined : 'bodyTooLarge',
      'refused at once',
    );
    t.ok(longest <= MAXIMUM_FRAME_BYTES, `${String(longest)} bytes`);
  });
}
