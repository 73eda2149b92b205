/** Tests what reaches a daemon that was killed and started again while its requests ran. */

import type {Behaviour, ReceivedAnswer} from '../fixtures/RelayBench.js';
import type {ScriptedDaemon} from '../fixtures/scriptedDaemon.js';
import type {OfferPacket, RelayPacket} from 'jackdawcove-relay';
import type {Test} from 'tap';

import {setTimeout as delay} from 'node:timers/promises';

import {encodePacket} from 'jackdawcove-relay';
import t from 'tap';

import {answerWith, RelayBench, waitUntil} from '../fixtures/RelayBench.js';
import {
  createScriptedDaemon,
  IDLE_LOAD,
  listenToPackets,
  OFFER,
} from '../fixtures/scriptedDaemon.js';

/** A caller's daemon whose first process was replaced while its offer was open. */
type RestartedCaller = {
  readonly asked: ScriptedDaemon;
  readonly other: ScriptedDaemon;
  /** Answer to the request of the second process. */
  readonly received: Promise<ReceivedAnswer>;
};

type Late = {
  readonly isFromOther?: boolean;
  readonly isToFirstProcess?: boolean;
  readonly name: string;
  readonly packet: RelayPacket;
};

const QUIET_MILLISECONDS = 100;
function createAnswer(
  body: string,
  fields: {readonly isLast?: boolean} = {},
): RelayPacket {
  return {
    attempt: 0,
    body: Buffer.from(body),
    failedCalls: 0,
    forwardedLines: 'x-request: r\r\n',
    isLast: true,
    kind: 'answer',
    load: IDLE_LOAD,
    runMilliseconds: 5,
    status: 200,
    ...fields,
  };
}

function createRefusal(reason: 'full' | 'refused'): RelayPacket {
  return {
    attempt: 0,
    kind: 'failure',
    load: IDLE_LOAD,
    mayHaveRun: false,
    reason,
  };
}

async function restartCaller(t: Test): Promise<RestartedCaller> {
  const bench = new RelayBench();
  t.teardown(() => {
    bench.stop();
  });
  const asked = createScriptedDaemon(bench, 'asked');
  const other = createScriptedDaemon(bench, 'other');
  const candidate = {
    availabilityZone: 'a',
    daemonIncarnation: 1,
    incarnation: 1,
    slots: 4,
  };
  bench.listCandidates = () =>
    ['asked', 'other'].map((daemon) => ({
      ...candidate,
      daemon,
      instance: `i-${daemon}`,
    }));
  const request = {isIdempotent: false};
  const offers = (): number => asked.offers.length + other.offers.length;
  void bench.sendRequest(bench.createDaemon('client', 1), request);
  await waitUntil(() => offers() === 1);
  const successor = bench.createDaemon('client', 2);
  const {answer} = bench.sendRequest(successor, request);
  await waitUntil(() => offers() === 2);
  return {asked, other, received: answer};
}

const LATE: readonly Late[] = [
  {
    isToFirstProcess: true,
    name: 'an answer for the process before',
    packet: createAnswer('foreign'),
  },
  {
    isToFirstProcess: true,
    name: 'the first part of an answer for the process before',
    packet: createAnswer('foreign', {isLast: false}),
  },
  {
    isToFirstProcess: true,
    name: 'a refusal for the process before by the daemon',
    packet: createRefusal('full'),
  },
  {
    isToFirstProcess: true,
    name: 'a refusal for the process before by the instance',
    packet: createRefusal('refused'),
  },
  {
    isFromOther: true,
    name: 'an answer of a daemon that was not asked',
    packet: createAnswer('foreign'),
  },
  {
    isFromOther: true,
    name: 'the first part of an answer of a daemon that was not asked',
    packet: createAnswer('foreign', {isLast: false}),
  },
  {
    isFromOther: true,
    name: 'a refusal of a daemon that was not asked',
    packet: createRefusal('full'),
  },
];

// Guards against answers to a killed process that reach the clients of its successor
// (review/1), and refusals of that kind that make a request run twice (review/2).
for (const {isFromOther, isToFirstProcess, name, packet} of LATE) {
  t.test(`${name} ends no attempt of the process that runs`, async (t) => {
    const {asked, other, received} = await restartCaller(t);
    const [first, second] = [...asked.offers, ...other.offers].toSorted(
      (left, right) => left.callerIncarnation - right.callerIncarnation,
    );
    const [right, wrong] = other.offers.some((offer) => offer === second)
      ? [other, asked]
      : [asked, other];
    const late = isToFirstProcess === true ? first : second;
    (isFromOther === true ? wrong : right).send({
      ...packet,
      attempt: late?.attempt ?? 0,
    });
    await delay(QUIET_MILLISECONDS);
    t.equal(asked.offers.length + other.offers.length, 2, 'sent on nowhere');
    right.send({...createAnswer('own'), attempt: second?.attempt ?? 0});
    const {body, status} = await received;
    t.strictSame([status, body], [200, 'own']);
  });
}

t.test('two processes of a daemon use different numbers', async (t) => {
  const {asked, other} = await restartCaller(t);
  const numbers = [...asked.offers, ...other.offers].map(
    ({attempt}) => attempt,
  );
  t.equal(new Set(numbers).size, 2);
});

type Ended = {
  readonly behaviour: Behaviour;
  /** What the process asks for before it ends. */
  readonly changes: Partial<OfferPacket>;
  readonly name: string;
  readonly slots: number;
};

function answerLate(behaviour: Behaviour): Behaviour {
  return (socket, head) => {
    setTimeout(() => {
      behaviour(socket, head);
    }, 200);
  };
}

const ENDED: readonly Ended[] = [
  {
    behaviour: answerLate(answerWith('foreign')),
    changes: {},
    name: 'the answer of a run',
    slots: 4,
  },
  {
    behaviour: answerLate((socket) => {
      socket.destroy();
    }),
    changes: {},
    name: 'the loss of a run',
    slots: 4,
  },
  {
    behaviour: () => undefined,
    changes: {attempt: 2, requestIdentifier: 'r2'},
    name: 'the refusal of a request that is queued',
    slots: 1,
  },
];

// Guards against answers to a killed process that reach its successor, where that one
// numbers its attempts from 1, as earlier versions do (review/1, review/2).
for (const {behaviour, changes, name, slots} of ENDED) {
  t.test(`${name} is not sent to another process`, async (t) => {
    const bench = new RelayBench();
    t.teardown(() => {
      bench.stop();
    });
    const asked = bench.createDaemon('asked');
    await asked.announce(slots);
    asked.behaviour = behaviour;
    const first = bench.network.createPool('client', 1);
    first.sendPacket('asked', encodePacket(OFFER), {});
    first.sendPacket('asked', encodePacket({...OFFER, ...changes}), {});
    await waitUntil(() => asked.heads.length === 1);
    bench.network.closeSession('client', 'asked');
    const received: RelayPacket[] = [];
    listenToPackets(bench.network.createPool('client', 2), (packet) => {
      received.push(packet);
    });
    bench.network.openSession('client', 'asked');
    await delay(4 * QUIET_MILLISECONDS);
    t.strictSame(received, []);
  });
}
