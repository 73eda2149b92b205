import type {ReceivedRequest} from '../../relay/RelayCall.js';
import type {Organisation} from 'jackdawcove-routes';
import type {Importance} from 'jackdawcove-shared';

import t from 'tap';

import {createCall} from '../../relay/RelayCall.js';
import {RunningRequest} from '../../relay/RunningRequests.js';

function createRequest(
  importance: Importance,
  organisation: Organisation | undefined,
): ReceivedRequest {
  return {
    body: Buffer.alloc(0),
    exchange: {
      answer: () => undefined,
      answerWithResult: () => undefined,
      isDisconnected: () => false,
      onDisconnected: () => undefined,
    },
    facts: {
      hostName: 'a.example',
      method: 'GET',
      parentRequestIdentifier: undefined,
      path: '/',
      requestIdentifier: 'r1',
      timeoutMilliseconds: undefined,
    },
    forwardedLines: '',
    organisation,
    target: {
      route: {
        attempts: 1,
        hostName: 'a.example',
        importance,
        isIdempotent: true,
        latencyObjectiveMilliseconds: 1_000,
        name: 'orders',
        pathPrefix: '/',
        targets: [],
        timeoutMilliseconds: 1_000,
      },
      service: 'orders',
    },
  };
}

/** Importance of the route and of the organisation, cohort, and the rank. */
const CASES: readonly (readonly [
  name: string,
  route: Importance,
  organisation: Importance | undefined,
  cohort: number,
  rank: number,
])[] = [
  ['the importance of the route', 'normal', undefined, 0.5, 2_500],
  ['a cohort close to one', 'urgent', undefined, 0.999_9, 999],
  ['an organisation goes over its route', 'urgent', 'background', 0, 3_000],
  ['an organisation of the same importance', 'high', 'high', 0.4, 1_350],
  ['routes order the requests of an importance', 'normal', 'high', 0.4, 1_600],
  ['the last of an importance', 'background', 'urgent', 0.999, 999],
];

for (const [name, route, importance, cohort, rank] of CASES) {
  t.test(name, async (t) => {
    const organisation: Organisation | undefined = importance && {
      importance,
      keys: [],
      name: 'grocers',
    };
    const request = createRequest(route, organisation);
    const call = createCall(request, undefined, 0, cohort);
    t.equal(call.shedRank, rank);
    t.equal(call.organisation, organisation?.name);
  });
}

t.test(
  'an organisation without an importance keeps that of the route',
  async (t) => {
    const organisation = {keys: [], name: 'grocers'};
    const request = createRequest('normal', organisation);
    t.equal(createCall(request, undefined, 0, 0.5).shedRank, 2_500);
  },
);

t.test('a call of a running request inherits its rank', async (t) => {
  const parent = new RunningRequest(500, false, 1_234);
  const request = createRequest('normal', undefined);
  t.equal(createCall(request, parent, 0, 0.5).shedRank, 1_234);
});
