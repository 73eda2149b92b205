import t from 'tap';

import {REQUEST_BODY_BYTES} from '../../administration/AdministrationConstants.js';
import {ADMINISTRATION_ENDPOINTS} from '../../administration/AdministrationEndpoints.js';
import {createAdministeredQuarantine} from '../../administration/createAdministeredQuarantine.js';
import {registerStatusMetrics} from '../../administration/registerStatusMetrics.js';
import {
  CHANGE,
  CHANGE_TOKEN,
  createFakeApplication,
  createFakeServices,
  READ_TOKEN,
  send,
} from '../fixtures/administrationFixture.js';

const ORIGIN = {author: 'ana', reason: 'upgrade'};
/** Method, path, body, expected status and expected part of the answer. */
const ANSWERS: readonly (readonly [string, string, unknown, number, object])[] =
  [
    ['GET', '/status', undefined, 200, {daemon: 'erie-1'}],
    ['GET', '/members', undefined, 200, {members: [{name: 'erie-1'}]}],
    ['GET', '/configuration', undefined, 200, {revision: 1}],
    ['GET', '/configuration?revision=1', undefined, 200, {revision: 1}],
    ['GET', '/configuration?revision=9', undefined, 404, {number: 508}],
    ['GET', '/configuration?revision=x', undefined, 400, {number: 510}],
    ['GET', '/configuration?revison=1', undefined, 400, {number: 510}],
    ['GET', '/configuration?revision=500', undefined, 500, {number: 699}],
    ['GET', '/configuration/applied', undefined, 200, {isConfirmed: true}],
    [
      'GET',
      '/configuration/history',
      undefined,
      200,
      {changes: [{revision: 1}]},
    ],
    [
      'GET',
      '/configuration/status',
      undefined,
      200,
      {missing: [{daemon: 'huron-1'}]},
    ],
    ['GET', '/voters', undefined, 200, {leader: 'erie-1', voters: ['erie-1']}],
    ['GET', '/quarantine', undefined, 200, {entries: []}],
    [
      'GET',
      '/timeline?kind=quarantined&since=5',
      undefined,
      200,
      {answered: ['erie-1']},
    ],
    ['GET', '/timeline?since=yesterday', undefined, 400, {number: 510}],
    ['POST', '/configuration/changes', CHANGE, 200, {revision: 1}],
    [
      'POST',
      '/configuration/changes',
      {...CHANGE, expectedRevision: 7},
      409,
      {name: 'revisionConflict', number: 501},
    ],
    [
      'POST',
      '/configuration/changes',
      {...CHANGE, force: true},
      400,
      {number: 510},
    ],
    [
      'POST',
      '/configuration/changes',
      {...CHANGE, author: ''},
      400,
      {number: 510},
    ],
    ['POST', '/configuration/changes', 'not JSON', 400, {number: 510}],
    [
      'POST',
      '/voters/changes',
      {...ORIGIN, changeIdentifier: 'c', voters: ['a', 'b', 'c']},
      200,
      {voters: ['a', 'b', 'c']},
    ],
    [
      'POST',
      '/voters/changes',
      {...ORIGIN, changeIdentifier: 'c', voters: ['a', 'b']},
      409,
      {number: 505},
    ],
    [
      'POST',
      '/quarantine/releases',
      {...ORIGIN, fingerprint: 'known'},
      200,
      {entries: []},
    ],
    [
      'POST',
      '/quarantine/releases',
      {...ORIGIN, fingerprint: 'other'},
      404,
      {number: 508},
    ],
    [
      'POST',
      '/quarantine/releases',
      {...ORIGIN, fingerprint: 'known', reason: ' '},
      400,
      {number: 510},
    ],
    ['POST', '/drain', ORIGIN, 200, {daemon: 'erie-1', isDraining: true}],
    ['POST', '/drain', {}, 400, {number: 510}],
    ['GET', '/none', undefined, 404, {number: 508}],
    ['DELETE', '/members', undefined, 404, {number: 508}],
  ];

t.test('returns answers and numbered failures', async (t) => {
  for (const [method, path, body, status, expected] of ANSWERS) {
    const {application} = createFakeApplication();
    const answer = await send(application, method, path, CHANGE_TOKEN, body);
    t.equal(answer.status, status, `${method} ${path}`);
    t.match(answer.json, expected);
  }
});

/** Token, and the expected status of endpoints for reads and for changes. */
const TOKEN_CASES: readonly (readonly [string | undefined, number, number])[] =
  [
    [undefined, 401, 401],
    ['', 401, 401],
    ['read-token-of-a-tes', 401, 401],
    [`${READ_TOKEN}x`, 401, 401],
    [READ_TOKEN, 200, 403],
    [CHANGE_TOKEN, 200, 200],
  ];

t.test(
  'each endpoint requires its right; refused tokens are counted',
  async (t) => {
    for (const endpoint of Object.values(ADMINISTRATION_ENDPOINTS)) {
      for (const [token, readStatus, changeStatus] of TOKEN_CASES) {
        const {application, counts, events, proposed, state} =
          createFakeApplication();
        const {method, path, right} = endpoint;
        const expected = right === 'read' ? readStatus : changeStatus;
        const {status} = await send(application, method, path, token);
        const isRefused = expected !== 200;
        // An authorized command without a body fails only the check of its input.
        t.equal(status, !isRefused && method === 'POST' ? 400 : expected, path);
        t.equal(events.includes('authorizationFailed'), isRefused);
        t.equal(counts.size, isRefused ? 1 : 0);
        t.equal(proposed.length + state.drainCount, 0);
      }
    }
  },
);

t.test('refuses a body above the limit', async (t) => {
  const {application, proposed} = createFakeApplication();
  const body = 'x'.repeat(REQUEST_BODY_BYTES + 1);
  const path = '/configuration/changes';
  const answer = await send(application, 'POST', path, CHANGE_TOKEN, body);
  t.equal(answer.status, 413);
  t.equal(answer.json['number'], 509);
  t.equal(proposed.length, 0);
});

t.test(
  'refuses requests above the concurrency limit and accepts later ones',
  async (t) => {
    const {application} = createFakeApplication();
    const path = '/configuration/status';
    const answers = await Promise.all(
      Array.from({length: 40}, () =>
        send(application, 'GET', path, READ_TOKEN),
      ),
    );
    const refused = answers.filter(({status}) => status === 503);
    t.equal(refused.length, 8);
    t.equal(refused[0]?.json['number'], 207);
    t.equal((await send(application, 'GET', path, READ_TOKEN)).status, 200);
  },
);

t.test('reports the state as gauges', async (t) => {
  const gauges = new Map<string, number>();
  let tick: () => void = () => undefined;
  const state = {drainCount: 1, release: () => undefined};
  const teardown = registerStatusMetrics(
    {
      metrics: {
        countEnd: () => undefined,
        gauge: (name, value) => {
          gauges.set(name, value);
        },
        increment: () => undefined,
        timing: () => undefined,
      },
      registerTicker: (_interval, onTick) => {
        tick = onTick;
        return () => undefined;
      },
    },
    createFakeServices([], state),
    {getDropped: () => 3},
  );
  tick();
  teardown();
  t.match(Object.fromEntries(gauges), {
    'configuration.revision': 1,
    'daemon.draining': 1,
    'daemon.openCalls': 2,
    'members.alive': 1,
    'members.unreachable': 0,
    'quarantine.quarantined': 0,
    'timeline.dropped': 3,
  });
});

t.test('spreads a release and does not find a clear fingerprint', async (t) => {
  const spread: unknown[] = [];
  const events: string[] = [];
  const quarantine = createAdministeredQuarantine(
    {
      clock: () => 7,
      log: {info: () => undefined} as never,
      recordEvent: (kind) => {
        events.push(kind);
      },
    },
    {
      crashQuarantine: {
        getSuspicion: (name: string) =>
          name === 'a' ? 'quarantined' : 'clear',
        list: () => [],
        release: () => [{kind: 'spread', records: []}],
      } as never,
      spread: (records) => {
        spread.push(records);
      },
    },
  );
  t.ok(quarantine.release({...ORIGIN, fingerprint: 'a'}).isOk);
  t.ok(quarantine.release({...ORIGIN, fingerprint: 'b'}).isErr);
  t.equal(spread.length, 1);
  t.strictSame(events, ['quarantineReleased']);
});
