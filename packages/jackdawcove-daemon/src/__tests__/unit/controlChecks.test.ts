import type {AppliedRevision} from '../../control/ControlServer.js';

import t from 'tap';

import {checkVoterNames} from '../../control/checkVoterNames.js';
import {collectStatus} from '../../control/collectStatus.js';

const NEWEST: AppliedRevision = {digest: 'new', revision: 3};

function createMembers(names: readonly string[], unreachable: string[] = []) {
  return names.map((daemon) => ({
    availabilityZone: daemon.charAt(0),
    daemon,
    isReachable: !unreachable.includes(daemon),
  }));
}

t.test('checks a proposed set of voters', async (t) => {
  const names = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1'];
  const cases = [
    {
      expected: undefined,
      name: 'one in each zone',
      unreachable: [],
      voters: ['a1', 'b1', 'c1'],
    },
    {
      expected: /a would hold a majority/,
      name: 'two of three in one zone',
      unreachable: [],
      voters: ['a1', 'a2', 'c1'],
    },
    {
      expected: undefined,
      name: 'two of five in one zone',
      unreachable: [],
      voters: ['a1', 'a2', 'b1', 'b2', 'c1'],
    },
    {
      expected: /x9 has not announced/,
      name: 'a daemon without a replica',
      unreachable: [],
      voters: ['a1', 'b1', 'x9'],
    },
    {
      expected: undefined,
      name: 'one unreachable',
      unreachable: ['c1'],
      voters: ['a1', 'b1', 'c1'],
    },
    {
      expected: /no majority/,
      name: 'two unreachable',
      unreachable: ['b1', 'c1'],
      voters: ['a1', 'b1', 'c1'],
    },
  ];
  for (const {expected, name, unreachable, voters} of cases) {
    const result = checkVoterNames({
      isCandidate: (daemon) => names.includes(daemon),
      members: createMembers(names, unreachable),
      voters,
    });
    t[expected === undefined ? 'equal' : 'match'](
      result.isErr ? result.error.detail : undefined,
      expected,
      name,
    );
  }
});

t.test('collects the status from the answers of the members', async (t) => {
  const answers: Record<string, AppliedRevision | undefined> = {
    a1: NEWEST,
    a2: {digest: 'old', revision: 2},
    b1: {digest: 'other', revision: 3},
    b2: undefined,
    c1: NEWEST,
  };
  let concurrent = 0;
  let maximumConcurrent = 0;
  const status = await collectStatus({
    askMember: async (daemon) => {
      concurrent += 1;
      maximumConcurrent = Math.max(maximumConcurrent, concurrent);
      await Promise.resolve();
      concurrent -= 1;
      return daemon in answers ? answers[daemon] : NEWEST;
    },
    members: createMembers(
      [
        ...Object.keys(answers),
        ...Array.from({length: 200}, (_, n) => `d${String(n)}`),
        'e1',
      ],
      ['e1'],
    ),
    newest: {digest: 'old', revision: 1},
  });
  t.same(status.missing, [
    {daemon: 'a2', reason: 'behind', revision: 2},
    {daemon: 'b1', reason: 'digestDiffers', revision: 3},
    {daemon: 'b2', reason: 'unreachable', revision: undefined},
    {daemon: 'e1', reason: 'unreachable', revision: undefined},
  ]);
  t.equal(status.inForceCount, 202);
  t.same(status.newest, NEWEST, 'newest revision of all answers');
  t.ok(
    maximumConcurrent <= 32,
    `${String(maximumConcurrent)} concurrent requests`,
  );
});
