import type {
  ConfigurationInput,
  ConfigurationOutput,
  Operation,
} from '../../ConfigurationHistoryChecker.js';

import t from 'tap';

import {
  createConfigurationModel,
  findVersionViolation,
  isLinearizable,
} from '../../ConfigurationHistoryChecker.js';

type ConfigurationOperation = Operation<
  ConfigurationInput,
  ConfigurationOutput
>;

function change(
  changeIdentifier: string,
  expectedRevision: number,
  output: ConfigurationOutput | undefined,
  invokedAt: number,
  returnedAt = Number.POSITIVE_INFINITY,
): ConfigurationOperation {
  const input = {changeIdentifier, expectedRevision, kind: 'change'} as const;
  return {input, invokedAt, output, returnedAt};
}

function read(
  revision: number,
  changeIdentifier: string,
  invokedAt: number,
  returnedAt: number,
): ConfigurationOperation {
  const output = {changeIdentifier, kind: 'value', revision} as const;
  return {input: {kind: 'read'}, invokedAt, output, returnedAt};
}

const FIRST = {kind: 'accepted', revision: 1} as const;
const SECOND = {kind: 'accepted', revision: 2} as const;
const CONFLICT = {kind: 'conflict'} as const;

t.test('linearizability', async (t) => {
  const cases: {
    expected: boolean;
    name: string;
    rows: ConfigurationOperation[];
  }[] = [
    {expected: true, name: 'empty', rows: []},
    {
      expected: true,
      name: 'sequential operations',
      rows: [
        change('a', 0, FIRST, 0, 1),
        change('b', 1, SECOND, 2, 3),
        read(2, 'b', 4, 5),
      ],
    },
    {
      expected: false,
      name: 'two changes accepted for one revision',
      rows: [change('a', 0, FIRST, 0, 5), change('b', 0, FIRST, 0, 5)],
    },
    {
      expected: true,
      name: 'one of two concurrent changes conflicts',
      rows: [change('a', 0, FIRST, 0, 5), change('b', 0, CONFLICT, 0, 5)],
    },
    {
      expected: false,
      name: 'conflict without another change',
      rows: [change('a', 0, CONFLICT, 0, 5)],
    },
    {
      expected: false,
      name: 'stale read',
      rows: [change('a', 0, FIRST, 0, 1), read(0, '', 2, 3)],
    },
    {
      expected: true,
      name: 'read concurrent with a change',
      rows: [change('a', 0, FIRST, 0, 5), read(0, '', 1, 2)],
    },
    {
      expected: false,
      name: 'a later read returns an older revision',
      rows: [
        change('a', 0, FIRST, 0, 9),
        read(1, 'a', 1, 2),
        read(0, '', 3, 4),
      ],
    },
    {
      expected: true,
      name: 'unanswered change took effect',
      rows: [change('a', 0, undefined, 0), read(1, 'a', 5, 6)],
    },
    {
      expected: true,
      name: 'unanswered change did not take effect',
      rows: [change('a', 0, undefined, 0), read(0, '', 5, 6)],
    },
    {
      expected: false,
      name: 'lost change',
      rows: [change('a', 0, FIRST, 0, 1), change('b', 0, FIRST, 2, 3)],
    },
  ];
  for (const {expected, name, rows} of cases) {
    t.equal(isLinearizable(createConfigurationModel(), rows), expected, name);
  }
});

t.test('versions never decrease', async (t) => {
  const cases = [
    {
      expected: undefined,
      name: 'increasing',
      rows: ['x 1 a', 'x 2 b', 'y 1 a'],
    },
    {expected: 1, name: 'decreasing', rows: ['x 2 b', 'x 1 a']},
    {
      expected: 1,
      name: 'two contents of one version',
      rows: ['x 1 a', 'y 1 b'],
    },
  ];
  for (const {expected, name, rows} of cases) {
    const observations = rows.map((row) => {
      const [observer = '', version, digest = ''] = row.split(' ');
      return {digest, observer, version: Number(version)};
    });
    const violation = findVersionViolation(observations);
    const expectedViolation =
      expected === undefined ? undefined : observations[expected];
    t.equal(violation, expectedViolation, name);
  }
});
