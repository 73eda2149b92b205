/** Tests answers that the session to the daemon of the caller cannot accept at once. */

import type {Behaviour} from '../fixtures/RelayBench.js';

import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {ANSWER_PART_BYTES} from '../../relay/RelayConstants.js';
import {answerWith, startRelayPair, waitUntil} from '../fixtures/RelayBench.js';

const REFUSED_MILLISECONDS = 150;
const LARGE_BODY = 'ab'.repeat(ANSWER_PART_BYTES);

type Case = {
  readonly behaviour: Behaviour;
  readonly body: string;
  readonly isSessionLost?: boolean;
  readonly name: string;
  readonly status: number;
};

const CASES: readonly Case[] = [
  {behaviour: answerWith('ok'), body: 'ok', name: 'one packet', status: 200},
  {
    behaviour: answerWith(LARGE_BODY),
    body: LARGE_BODY,
    name: 'several packets',
    status: 200,
  },
  {
    behaviour: answerWith(LARGE_BODY),
    body: LARGE_BODY,
    isSessionLost: true,
    name: 'several packets, then the session is lost',
    status: 200,
  },
  {
    behaviour: (socket) => {
      socket.resetAndDestroy();
    },
    body: '',
    name: 'an unknown outcome',
    status: 502,
  },
];

for (const {behaviour, body, isSessionLost = false, name, status} of CASES) {
  t.test(`an answer that waits for its session arrives: ${name}`, async (t) => {
    const {bench, client, first} = await startRelayPair(t);
    first.behaviour = behaviour;
    bench.network.refusedSenders.add('first');
    const request = {isIdempotent: false, timeoutMilliseconds: 1_500};
    const {answer} = bench.sendRequest(client, request);
    await waitUntil(
      () => first.heads.length === 1 && first.server.getOpenOffers() === 0,
    );
    await delay(REFUSED_MILLISECONDS);
    if (isSessionLost) {
      bench.network.closeSession('client', 'first');
    }
    bench.network.refusedSenders.clear();
    if (isSessionLost) {
      bench.network.openSession('client', 'first');
    }
    const startedAt = performance.now();
    const received = await answer;
    t.equal(received.status, status);
    t.equal(received.body === body, true, 'the whole body');
    t.equal(first.heads.length, 1, 'one run');
    t.ok(performance.now() - startedAt < 1_000, 'before the deadline');
  });
}
