import type {OpenAttempt, ReceivedRequest} from '../../relay/RelayCall.js';
import type {AnswerPacket} from 'jackdawcove-relay';
import type {Organisation} from 'jackdawcove-routes';
import type {Importance} from 'jackdawcove-shared';

import {getShedRank} from 'jackdawcove-relay';
import t from 'tap';

import {addAnswerPart, createCall} from '../../relay/RelayCall.js';
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
    const shedRank = getShedRank({
      cohort,
      importance: route,
      organisationImportance: importance,
    });
    const call = createCall(request, undefined, 0, shedRank);
    t.equal(call.shedRank, rank);
    t.equal(call.organisation, organisation?.name);
  });
}

t.test(
  'an organisation without an importance keeps that of the route',
  async (t) => {
    const organisation = {keys: [], name: 'grocers'};
    const request = createRequest('normal', organisation);
    const {importance} = request.target.route;
    const shedRank = getShedRank({
      cohort: 0.5,
      importance,
      organisationImportance: request.organisation?.importance,
    });
    t.equal(createCall(request, undefined, 0, shedRank).shedRank, 2_500);
  },
);

t.test('a call of a running request inherits its rank', async (t) => {
  const parent = new RunningRequest(500, false, 1_234);
  const request = createRequest('normal', undefined);
  t.equal(createCall(request, parent, 0, 2_500).shedRank, 1_234);
});

/** Parts of "abc" in the order of their arrival, and the bodies of complete answers. */
const PARTS: readonly {
  readonly bodies: readonly string[];
  readonly isNumbered: boolean;
  readonly name: string;
  readonly parts: string;
}[] = [
  {bodies: ['abc'], isNumbered: true, name: 'all in order', parts: 'abc'},
  {
    bodies: ['abc'],
    isNumbered: false,
    name: 'all in order, of an earlier version',
    parts: 'abc',
  },
  {bodies: [], isNumbered: true, name: 'the last ones alone', parts: 'bc'},
  {bodies: [], isNumbered: true, name: 'a gap', parts: 'ac'},
  {
    bodies: ['abc'],
    isNumbered: true,
    name: 'the beginning, then all again',
    parts: 'ababc',
  },
  {
    bodies: ['abc'],
    isNumbered: true,
    name: 'the end after its beginning was discarded, then all again',
    parts: 'bcabc',
  },
];

// Guards against parts of two transmissions of an answer that are joined (review/1).
for (const {bodies, isNumbered, name, parts} of PARTS) {
  t.test(`parts of an answer: ${name}`, async (t) => {
    const attempt = {bodyParts: [], firstPart: undefined};
    const answers = [...parts].flatMap((body) => {
      const packet: Partial<AnswerPacket> = {
        body: Buffer.from(body),
        forwardedLines: body === 'a' ? 'head' : '',
        isLast: body === 'c',
        partNumber: isNumbered ? 'abc'.indexOf(body) : undefined,
      };
      const answer = addAnswerPart(
        attempt as unknown as OpenAttempt,
        packet as AnswerPacket,
      );
      return answer === undefined ? [] : [answer];
    });
    t.strictSame(
      answers.map(({body}) => Buffer.from(body).toString()),
      bodies,
    );
    t.ok(answers.every(({forwardedLines}) => forwardedLines === 'head'));
  });
}
