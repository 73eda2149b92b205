import type {QuotaAnswer} from '../../index.js';

import {getNumberBase} from 'jackdawcove-shared';
import tap from 'tap';

import {
  QuotaAggregator,
  QuotaLimiter,
  quotaMessageSchema,
} from '../../index.js';

const NAME = 'north-grocers';
const QUOTA = {burst: 10, organisation: NAME, requestsPerSecond: 10};
const RULE = {overRatio: 0.1, slack: 20, windowMilliseconds: 5_000};
const DAEMONS = 20;
const PROCESS = 1_764_806_400_000;
const FIRST_SEQUENCE = getNumberBase(PROCESS);

function createLimiter(): QuotaLimiter {
  return new QuotaLimiter({
    findQuota: (name) => (name === NAME ? QUOTA : undefined),
    getKnownDaemons: () => DAEMONS,
    process: PROCESS,
    rounding: 0.5,
    rule: RULE,
    startedAt: 0,
  });
}

function createAnswer(
  sequence: number,
  requestsPerSecond?: number,
): QuotaAnswer {
  return {
    isComplete: true,
    kind: 'answer',
    limits:
      requestsPerSecond === undefined
        ? []
        : [{organisation: NAME, requestsPerSecond}],
    // Zero answers no report.
    sequence: sequence === 0 ? 0 : FIRST_SEQUENCE + sequence,
  };
}

function countAdmitted(limiter: QuotaLimiter, now: number): number {
  let admitted = 0;
  while (admitted < 100 && limiter.admit(NAME, now) === 0) {
    admitted += 1;
  }
  return admitted;
}

const ADMISSIONS = [
  ['cold daemon at once', undefined, 0, 0],
  ['cold daemon after half a window', undefined, 2_500, 2],
  ['answered lately', createAnswer(0), 700, 100],
  ['answered long ago', createAnswer(0), 900, 4],
  ['share of two a second, begun with half a unit', createAnswer(0, 2), 700, 1],
  ['share of nothing', createAnswer(0, 0), 700, 0],
  ['answer to a report that was never sent', createAnswer(9), 700, 1],
  [
    'answer to a report of the process before',
    createAnswer(1 - FIRST_SEQUENCE),
    700,
    1,
  ],
] as const;

for (const [name, answer, now, expected] of ADMISSIONS) {
  tap.test(`admissions: ${name}`, (t) => {
    const limiter = createLimiter();
    if (answer !== undefined) {
      limiter.handleAnswer(answer, 0);
    }
    t.equal(countAdmitted(limiter, now), expected);
    t.equal(limiter.admit('unlimited', now), 0);
    t.end();
  });
}

tap.test('units that are given back are not counted twice', (t) => {
  const limiter = createLimiter();
  limiter.handleAnswer(createAnswer(0), 0);
  limiter.admit(NAME, 0);
  limiter.admit(NAME, 0);
  limiter.giveBack(NAME, 0);
  t.equal(limiter.createReport().entries[0]?.admitted, 1);
  limiter.giveBack(NAME, 0);
  limiter.admit(NAME, 0);
  limiter.admit(NAME, 0);
  t.equal(limiter.createReport().entries[0]?.admitted, 2);
  limiter.handleAnswer(createAnswer(2), 0);
  t.same(limiter.createReport().entries, [], 'all is acknowledged');
  t.end();
});

// Guards against late answers that acknowledge what the next process has admitted.
tap.test('an answer to the process before acknowledges nothing', (t) => {
  const limiter = createLimiter();
  limiter.handleAnswer(createAnswer(0), 0);
  limiter.admit(NAME, 0);
  limiter.createReport();
  limiter.handleAnswer({...createAnswer(0), sequence: 1}, 0);
  t.equal(limiter.createReport().entries[0]?.acknowledged, 0);
  t.end();
});

tap.test('refused callers are asked to return one after the other', (t) => {
  const limiter = createLimiter();
  limiter.handleAnswer(createAnswer(0, 4), 0);
  countAdmitted(limiter, 500);
  const delays = Array.from({length: 3}, () => limiter.admit(NAME, 500));
  const [first = 0, second = 0, third = 0] = delays;
  t.equal(second - first, 250);
  t.equal(third - second, 250);
  const later = Array.from({length: 50}, () => limiter.admit(NAME, 500));
  t.ok(later.every((delay) => delay > 0 && delay <= 2_000));
  t.end();
});

const LIES = [
  ['acknowledges more than it admitted', 3, 9],
  ['admitted less than before', 1, 0],
] as const;

for (const [name, admitted, acknowledged] of LIES) {
  tap.test(`a report that ${name} changes nothing`, (t) => {
    const aggregator = new QuotaAggregator({
      findQuota: () => QUOTA,
      getKnownDaemons: () => 1,
      getPeers: () => ['peer'],
      process: 1,
      rule: RULE,
    });
    const report = (counts: readonly [number, number], now: number): void => {
      const [total, known] = counts;
      const entry = {acknowledged: known, admitted: total, asked: 1};
      aggregator.handleReport(
        'daemon',
        {
          entries: [{...entry, organisation: NAME}],
          kind: 'report',
          process: 1,
          sequence: 1,
        },
        now,
      );
    };
    report([2, 0], 0);
    report([admitted, acknowledged], 250);
    const sums = aggregator
      .tick(300)
      .flatMap((effect) => (effect.kind === 'send' ? [effect.message] : []))
      .find(({kind}) => kind === 'sums');
    t.match(sums, {entries: [{admitted: 2}]});
    t.end();
  });
}

const MALFORMED = [
  Number.NaN,
  Number.POSITIVE_INFINITY,
  -1,
  0.5,
  '7',
  undefined,
] as const;

for (const admitted of MALFORMED) {
  tap.test(`a report is malformed: ${String(admitted)}`, (t) => {
    const entry = {acknowledged: 0, admitted, asked: 0, organisation: NAME};
    const report = {entries: [entry], kind: 'report', process: 1, sequence: 1};
    t.notOk(quotaMessageSchema.safeParse(report).success);
    t.end();
  });
}

const SURGES = [
  {admitted: 2, isSurging: false, name: 'the quota of a short time'},
  {admitted: 3, isSurging: true, name: 'more than that'},
  {
    admitted: 3,
    answer: createAnswer(0, 100),
    isSurging: false,
    name: 'more than that, within a share',
  },
  {admitted: 3, isReported: true, isSurging: false, name: 'what was reported'},
  {
    admitted: 1,
    at: 3_000,
    isSurging: false,
    name: 'a daemon that no aggregator answers',
  },
];

// Guards against a quota that is exceeded because daemons that admit a surge wait for
// their next report (KNOWN-RED.txt, two daemons hold a quota together).
for (const {
  admitted,
  answer = createAnswer(0),
  at = 100,
  isReported = false,
  isSurging,
  name,
} of SURGES) {
  tap.test(`a surge is reported at once: ${name}`, async (t) => {
    const limiter = createLimiter();
    limiter.handleAnswer(answer, 0);
    for (let count = 0; count < admitted; count += 1) {
      t.equal(limiter.admit(NAME, at), 0);
    }
    if (isReported) {
      limiter.createReport();
    }
    t.equal(limiter.isSurging(NAME, at), isSurging);
  });
}
