import t from 'tap';

import {AnswerHeaderLog} from '../../relay/AnswerHeaderLog.js';

const LONG_LIST = Array.from(
  {length: 200},
  (_, index) => `x-${String(index)}: 1\r\n`,
).join('');

const CASES = [
  {answers: [[0, 'A: 1\r\nb: 2\r\n']], logged: ['a', 'b'], name: 'each name'},
  {
    answers: [
      [0, 'a: 1\r\n'],
      [1_000, 'A: 2\r\n'],
    ],
    logged: ['a'],
    name: 'a name only once',
  },
  {
    answers: [
      [0, 'a: 1\r\n'],
      [500, 'b: 1\r\n'],
    ],
    logged: ['a'],
    name: 'one answer per second',
  },
  {
    answers: [
      [0, 'a: 1\r\n'],
      [1_000, 'a: 1\r\nb: 1\r\n'],
    ],
    logged: ['a', 'b'],
    name: 'a header that comes later',
  },
  {
    answers: [[0, '']],
    logged: [],
    name: 'nothing for an answer without headers',
  },
] as const;

function observe(answers: readonly (readonly [number, string])[]): string[] {
  const logged: string[] = [];
  let now = 0;
  const log = {
    info: ({header}: {header: string}) => {
      logged.push(header);
    },
  };
  const headerLog = new AnswerHeaderLog({clock: () => now, log} as never);
  for (const [at, headerLines] of answers) {
    now = at;
    headerLog.observe(headerLines, 'i-1');
  }
  return logged;
}

for (const {answers, logged, name} of CASES) {
  t.test(`logs ${name}`, async (t) => {
    t.strictSame(observe(answers), logged);
  });
}

t.test('logs a bounded number of names', async (t) => {
  t.equal(observe([[0, LONG_LIST]]).length, 64);
});
