import type {WaitingRequest} from '../../server/InstanceAdmission.js';
import type {InstanceCondition} from '../../server/InstanceCondition.js';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {RANK_COUNT} from '../../RelayConstants.js';
import {InstanceAdmission} from '../../server/InstanceAdmission.js';
import {NORMAL_CONDITION} from '../../server/InstanceCondition.js';
import {PressureThreshold} from '../../server/PressureThreshold.js';

function createRequest(
  shedRank: number,
  arrivedAt = 0,
  expiresAt = 1_000,
): WaitingRequest {
  return {arrivedAt, expiresAt, isRateLimitKnown: true, shedRank};
}

t.test('the limit follows from the announced slots', async (t) => {
  const cases = [
    [1, 1],
    [8, 8],
    [9, 8],
    [17, 16],
    [41, 38],
    [100, 95],
    [0, 0],
  ] as const;
  for (const [slots, limit] of cases) {
    const admission = new InstanceAdmission(0);
    admission.setSlots(slots);
    t.equal(admission.getLoad(0).limit, limit, `${String(slots)} slots`);
  }
});

t.test('queue', async (t) => {
  t.test('never runs more than the limit', async (t) => {
    const admission = new InstanceAdmission(0);
    admission.setSlots(1);
    t.equal(admission.offer(createRequest(1), 0), 'run');
    t.equal(admission.offer(createRequest(1), 0), 'queued');
    t.equal(admission.takeNext(0), undefined);
    admission.release(1);
    t.ok(admission.takeNext(1));
    t.equal(admission.takeNext(1), undefined);
  });

  t.test('is ordered by rank, then by arrival', async (t) => {
    const admission = new InstanceAdmission(0);
    admission.setSlots(1);
    admission.offer(createRequest(0), 0);
    const [low, first, second, high] = [
      createRequest(2_500),
      createRequest(1_000),
      createRequest(1_000),
      createRequest(10),
    ];
    for (const request of [low, first, second, high]) {
      t.equal(admission.offer(request, 0), 'queued');
    }
    const order: unknown[] = [];
    for (let count = 0; count < 4; count += 1) {
      admission.release(0);
      order.push(admission.takeNext(0));
    }
    t.strictSame(order, [high, first, second, low]);
    t.equal(order[1], first);
  });

  t.test(
    'refuses a request immediately if it would expire in the queue',
    async (t) => {
      const admission = new InstanceAdmission(0);
      admission.setSlots(1);
      admission.offer(createRequest(0), 0);
      for (let now = 0; now < 5_000; now += 50) {
        admission.offer(createRequest(5, now, now + 9_000), now);
        admission.release(now);
        admission.takeNext(now);
        admission.offer(createRequest(5, now, now + 9_000), now);
      }
      t.ok(admission.getLoad(5_000).queued > 50);
      t.equal(admission.offer(createRequest(9, 5_000, 5_400), 5_000), 'full');
      t.equal(
        admission.offer(createRequest(0, 5_000, 5_400), 5_000),
        'queued',
        'a more important request is placed ahead of the others',
      );
    },
  );

  t.test('returns expired requests and removes cancelled ones', async (t) => {
    const admission = new InstanceAdmission(0);
    admission.setSlots(1);
    admission.offer(createRequest(0), 0);
    const [early, late, cancelled] = [
      createRequest(1, 0, 100),
      createRequest(1, 0, 200),
      createRequest(1, 0, 300),
    ];
    for (const request of [early, late, cancelled]) {
      admission.offer(request, 0);
    }
    t.ok(admission.remove(cancelled));
    t.notOk(admission.remove(cancelled));
    t.strictSame(admission.takeExpired(100), [early]);
    t.strictSame(admission.takeAll(), [late]);
  });
});

t.test('threshold', async (t) => {
  t.test('refuses nothing while waits are short', async (t) => {
    const pressure = new PressureThreshold(0);
    for (let now = 0; now < 2_000; now += 100) {
      pressure.recordWait(2_900, 5);
      pressure.tick(now);
    }
    t.equal(pressure.getThreshold(), RANK_COUNT);
  });

  for (const rank of [2_000, 2_400, 2_999]) {
    t.test(
      `falls by a step from the end of the importance of rank ${String(rank)}`,
      async (t) => {
        const pressure = new PressureThreshold(0);
        pressure.recordWait(rank, 400);
        pressure.tick(100);
        t.equal(pressure.getThreshold(), 2_920);
      },
    );
  }

  t.test('rises again without waits', async (t) => {
    const pressure = new PressureThreshold(0);
    pressure.recordWait(2_400, 400);
    pressure.tick(100);
    for (let now = 200; now < 15_000; now += 100) {
      pressure.tick(now);
    }
    t.equal(pressure.getThreshold(), RANK_COUNT);
  });

  t.test('derives the target wait from the run time', async (t) => {
    const thresholds = [15, 100].map((runTime) => {
      const pressure = new PressureThreshold(0);
      for (let count = 0; count < 500; count += 1) {
        pressure.recordRunTime(runTime);
      }
      for (let now = 100; now < 2_000; now += 100) {
        pressure.recordWait(2_400, 25);
        pressure.tick(now);
      }
      return pressure.getThreshold();
    });
    t.ok(
      (thresholds[0] ?? RANK_COUNT) < 2_400,
      '25 ms exceed the target of 15 ms runs',
    );
    t.equal(
      thresholds[1],
      RANK_COUNT,
      '25 ms are below the target of 100 ms runs',
    );
  });
});

function countRequest(counts: number[], shedRank: number): void {
  const index = Math.floor(shedRank / 1_000);
  counts[index] = (counts[index] ?? 0) + 1;
}

/**
 * Guards against overload that delays or refuses important requests. An instance of
 * 10 slots and 50 ms run time could serve 190 requests per second; 300 arrive, a
 * third of each importance. Its 9 usable slots serve 180 per second; at nine tenths of
 * that, all 100 requests of the first importance fit and 62 of the second. The least
 * important requests must be refused, and served requests must not wait long.
 */
t.test('excess demand is refused by least importance', async (t) => {
  const random = createSeededRandom(11);
  const admission = new InstanceAdmission<WaitingRequest>(0);
  admission.setSlots(10);
  const served = [0, 0, 0];
  const offered = [0, 0, 0];
  const waits: number[] = [];
  let scheduledEnds: {at: number; run: number}[] = [];
  const run = (request: WaitingRequest, now: number): void => {
    countRequest(served, request.shedRank);
    waits.push(now - request.arrivedAt);
    const runTime = 30 + random() * 40;
    scheduledEnds.push({at: now + runTime, run: runTime});
  };
  for (let now = 0; now < 20_000; now += 1) {
    for (const end of scheduledEnds.filter(({at}) => at <= now)) {
      scheduledEnds = scheduledEnds.filter((other) => other !== end);
      admission.release(now, end.run);
      const next = admission.takeNext(now);
      if (next !== undefined) {
        run(next, now);
      }
    }
    admission.takeExpired(now);
    admission.tick(now);
    if (random() < 0.3) {
      const rank = Math.floor(random() * 3_000);
      countRequest(offered, rank);
      if (rank < admission.getLoad(now).threshold) {
        const request = createRequest(rank, now, now + 400);
        if (admission.offer(request, now) === 'run') {
          run(request, now);
        }
      }
    }
  }
  const shares = served.map((count, index) => count / (offered[index] ?? 1));
  t.ok((shares[0] ?? 0) > 0.99, `first: ${String(shares[0])}`);
  t.ok((shares[1] ?? 0) > 0.62, `second: ${String(shares[1])}`);
  t.ok((shares[2] ?? 1) < 0.1, `last: ${String(shares[2])}`);
  const total = served.reduce((sum, count) => sum + count, 0) / 20;
  t.ok(total > 0.9 * 180, `${String(total)} of 180 per second`);
  waits.sort((left, right) => left - right);
  const median = waits[Math.floor(waits.length / 2)] ?? 0;
  t.ok(median < 40, `median wait ${String(median)} ms`);
});

function limitRate(requestsPerSecond: number): InstanceCondition {
  return {isLeaving: false, requestsPerSecond};
}

const RATES = [
  {duration: 4_000, rate: 5.6, slots: 40},
  {duration: 4_000, rate: 10.3, slots: 40},
  {duration: 4_000, rate: 200, slots: 400},
  {duration: 40_000, rate: 0.5, slots: 40},
  {duration: 40_000, rate: 0, slots: 40},
];

t.test('a rate limit', async (t) => {
  for (const {duration, rate, slots} of RATES) {
    t.test(`${String(rate)}/s is never exceeded and fully used`, async (t) => {
      const random = createSeededRandom(7);
      const admission = new InstanceAdmission(0);
      admission.setSlots(slots);
      admission.setCondition(limitRate(rate), 0);
      let started = 0;
      for (let now = 0; now < duration; now += 2) {
        const request = createRequest(Math.floor(random() * 3_000), now);
        const decision = admission.offer(
          {...request, expiresAt: now + 600},
          now,
        );
        started += decision === 'run' ? 1 : 0;
        if (decision === 'run') {
          admission.release(now);
        }
        admission.takeExpired(now);
        while (admission.takeNext(now) !== undefined) {
          started += 1;
          admission.release(now);
        }
      }
      const expected = (rate * duration) / 1_000;
      t.ok(started <= expected * 1.1 + 10, `${String(started)} started`);
      t.ok(started >= expected * 0.9 - 2, `${String(started)} started`);
      t.ok(started > 0, 'some requests show whether the limit has ended');
    });
  }

  t.test('is applied before the instance answers if assumed', async (t) => {
    const admission = new InstanceAdmission(0);
    admission.setSlots(40);
    t.equal(admission.getLoad(0).condition, undefined);
    admission.assumeRequestRate(4, 0);
    t.equal(admission.offer(createRequest(1), 0), 'queued');
    t.match(admission.getLoad(0).condition, {
      requestsPerSecond: 4,
      startDelayMilliseconds: 500,
    });
    admission.setCondition(NORMAL_CONDITION, 10);
    t.ok(admission.takeNext(10), 'what the instance states has precedence');
    admission.assumeRequestRate(4, 20);
    t.equal(admission.offer(createRequest(1), 20), 'run');
    t.strictSame(admission.getLoad(20).condition, {
      isLeaving: false,
      requestsPerSecond: undefined,
      startDelayMilliseconds: 0,
    });
  });

  t.test('refuses at once what does not know it', async (t) => {
    const admission = new InstanceAdmission(0);
    admission.setSlots(40);
    admission.setCondition(limitRate(2), 0);
    const unaware = {...createRequest(1), isRateLimitKnown: false};
    t.equal(admission.offer(unaware, 0), 'full');
    t.equal(admission.offer(unaware, 500), 'run', 'unless it has a token');
  });

  t.test('refuses what would wait for too long', async (t) => {
    const admission = new InstanceAdmission(0);
    admission.setSlots(40);
    admission.setCondition(limitRate(2), 0);
    t.equal(admission.offer(createRequest(1, 0, 600), 0), 'queued');
    t.equal(admission.offer(createRequest(1, 0, 600), 0), 'full');
    t.equal(admission.offer(createRequest(0, 0, 600), 0), 'queued');
  });
});
