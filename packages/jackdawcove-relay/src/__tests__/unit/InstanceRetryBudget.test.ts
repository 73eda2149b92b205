import type {Milliseconds} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {InstanceRetryBudget} from '../../server/InstanceRetryBudget.js';

const WINDOW_MILLISECONDS = 10_000;
const BUDGET = {ratio: 0.2, slack: 48, windowMilliseconds: WINDOW_MILLISECONDS};

function countSpent(
  budget: InstanceRetryBudget,
  attempts: number,
  now: Milliseconds,
): number {
  let spent = 0;
  for (let count = 0; count < attempts; count += 1) {
    spent += Number(budget.spend(now));
  }
  return spent;
}

const CASES: readonly {
  readonly expected: number;
  readonly instances: number;
  readonly name: string;
  readonly now: Milliseconds;
  readonly repeats: number;
  readonly requests: number;
}[] = [
  {
    expected: 0,
    instances: 3,
    name: 'a new process',
    now: 0,
    repeats: 0,
    requests: 0,
  },
  {
    expected: 4,
    instances: 3,
    name: 'half a window',
    now: 5_000,
    repeats: 0,
    requests: 0,
  },
  {
    expected: 8,
    instances: 3,
    name: 'a share of the slack',
    now: 20_000,
    repeats: 0,
    requests: 0,
  },
  {
    expected: 24,
    instances: 0,
    name: 'no instance known',
    now: 20_000,
    repeats: 0,
    requests: 0,
  },
  {
    expected: 28,
    instances: 3,
    name: 'requests earn retries',
    now: 20_000,
    repeats: 0,
    requests: 200,
  },
  {
    expected: 18,
    instances: 3,
    name: 'calls of repeated runs count',
    now: 20_000,
    repeats: 10,
    requests: 200,
  },
  {
    expected: 0,
    instances: 3,
    name: 'more of them than is left',
    now: 20_000,
    repeats: 40,
    requests: 200,
  },
];

for (const {expected, instances, name, now, repeats, requests} of CASES) {
  t.test(`allowed: ${name}`, async (t) => {
    const budget = new InstanceRetryBudget(BUDGET, () => instances, 0);
    for (let count = 0; count < requests; count += 1) {
      budget.recordRequest(now);
    }
    for (let count = 0; count < repeats; count += 1) {
      budget.recordRepeat(now);
    }
    t.equal(countSpent(budget, 100, now), expected);
    t.equal(countSpent(budget, 100, now + 100), 0, 'once a window');
  });
}

t.test(
  'a share stays small for a window after instances have left',
  async (t) => {
    let instances = 12;
    const budget = new InstanceRetryBudget(BUDGET, () => instances, 0);
    t.equal(countSpent(budget, 100, 20_000), 2);
    instances = 2;
    t.equal(countSpent(budget, 100, 29_000), 0);
    t.equal(countSpent(budget, 100, 60_000), 2, 'the window before had twelve');
    t.equal(countSpent(budget, 100, 75_000), 12);
  },
);

const HISTORY_COUNT = 2_000;
const HISTORY_MILLISECONDS = 40_000;
const STEP_MILLISECONDS = 100;

type Process = {readonly budget: InstanceRetryBudget};

/**
 * Plays a service whose instances' daemons are killed, started again, added and removed,
 * one of two zones is cut off for a while, and everything is repeated as often as the
 * budget lets it. Returns the largest excess over the rule in any window.
 */
function playHistory(seed: number): number {
  const random = createSeededRandom(seed);
  const rate = random() * 100;
  const repeatedRunRate = random() * 1;
  const cutAt = random() * HISTORY_MILLISECONDS;
  const cutLength = random() * 6_000;
  let now = 0;
  let processes: Process[] = [];
  const isCut = (): boolean => now >= cutAt && now < cutAt + cutLength;
  const start = (isFirstZone: boolean): Process => {
    const zone: Process[] = isFirstZone ? first : second;
    const process = {
      budget: new InstanceRetryBudget(
        BUDGET,
        () => (isCut() ? zone.length : processes.length),
        now,
      ),
    };
    zone.push(process);
    return process;
  };
  const first: Process[] = [];
  const second: Process[] = [];
  const initialCount = 2 + Math.floor(random() * 20);
  for (let index = 0; index < initialCount; index += 1) {
    processes.push(start(index % 2 === 0));
  }
  const repeats: number[] = [];
  const requests: number[] = [];
  for (; now < HISTORY_MILLISECONDS; now += STEP_MILLISECONDS) {
    if (random() < 0.02) {
      // Some processes end; others take their place, or none do.
      const share = random();
      const kept = processes.filter(() => random() > share);
      const replacedCount = processes.length - kept.length;
      for (const zone of [first, second]) {
        const left = zone.filter((process) => kept.includes(process));
        zone.splice(0, zone.length, ...left);
      }
      processes = kept;
      const startedCount = Math.max(
        processes.length === 0 ? 1 : 0,
        Math.round(replacedCount * random() * 1.2),
      );
      for (let count = 0; count < startedCount; count += 1) {
        processes.push(start(random() < 0.5));
      }
    }
    let repeatCount = 0;
    let requestCount = 0;
    for (const {budget} of processes) {
      const share = rate / processes.length;
      if (random() < (share * STEP_MILLISECONDS) / 1_000) {
        budget.recordRequest(now);
        requestCount += 1;
      }
      if (
        random() <
        (repeatedRunRate * STEP_MILLISECONDS) / 1_000 / processes.length
      ) {
        budget.recordRepeat(now);
        repeatCount += 1;
      }
      repeatCount += countSpent(budget, 5, now);
    }
    repeats.push(repeatCount);
    requests.push(requestCount);
  }
  return findExcess(repeats, requests);
}

function findExcess(
  repeats: readonly number[],
  requests: readonly number[],
): number {
  const steps = WINDOW_MILLISECONDS / STEP_MILLISECONDS;
  let excess = Number.NEGATIVE_INFINITY;
  for (let end = steps; end <= repeats.length; end += 1) {
    const total = sum(repeats.slice(end - steps, end));
    const asked = sum(requests.slice(end - steps, end));
    excess = Math.max(excess, total - BUDGET.ratio * asked - BUDGET.slack);
  }
  return excess;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

t.test('the fleet stays within its budget, whatever happens', async (t) => {
  const exceeded: string[] = [];
  for (let seed = 1; seed <= HISTORY_COUNT; seed += 1) {
    const excess = playHistory(seed);
    if (excess > 0) {
      exceeded.push(`seed ${String(seed)}: ${excess.toFixed(1)} too many`);
    }
  }
  t.same(exceeded, []);
});

t.test(
  'a planted fault is found: each process takes the whole slack',
  async (t) => {
    const spent = [1, 2, 3].map((count) =>
      countSpent(new InstanceRetryBudget(BUDGET, () => 1, -20_000), 100, count),
    );
    t.ok(
      findExcess(
        spent.concat(new Array<number>(97).fill(0)),
        new Array<number>(100).fill(0),
      ) > 0,
    );
  },
);
