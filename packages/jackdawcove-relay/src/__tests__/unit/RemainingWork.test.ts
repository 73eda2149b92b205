import t from 'tap';

import {decodeLoad, encodeLoad} from '../../packets/InstanceLoad.js';
import {RemainingWork} from '../../server/RemainingWork.js';

const LOAD = {
  condition: undefined,
  limit: 37,
  queued: 2,
  running: 37,
  threshold: 2_400,
};

t.test('work left at an instance', async (t) => {
  t.test('follows runs and queue', async (t) => {
    const work = new RemainingWork();
    const [first, second] = [
      {expectedRunMilliseconds: 100},
      {expectedRunMilliseconds: 40},
    ];
    work.start(first, 0);
    work.addQueued(second);
    t.equal(work.getReport(30).remainingMilliseconds, 110);
    work.removeQueued(second);
    work.start(second, 30);
    t.equal(work.getReport(50).remainingMilliseconds, 70);
    work.end(second, undefined);
    work.end(first, undefined);
    t.same(work.getReport(60), {remainingMilliseconds: 0, slowness: 1});
  });

  t.test('a run that exceeds its expected time has work left', async (t) => {
    const work = new RemainingWork();
    work.start({expectedRunMilliseconds: 20}, 0);
    work.tick(100);
    t.equal(work.getReport(100).remainingMilliseconds, 50);
  });

  t.test('learns how slow the instance is', async (t) => {
    const work = new RemainingWork();
    for (let now = 0; now < 20_000; now += 100) {
      const run = {expectedRunMilliseconds: 50};
      work.start(run, now);
      work.end(run, 75);
    }
    const {slowness} = work.getReport(20_000);
    t.ok(Math.abs(slowness - 1.5) < 0.01, String(slowness));
    const next = {expectedRunMilliseconds: 50};
    work.start(next, 20_000);
    t.ok(Math.abs(work.getReport(20_000).remainingMilliseconds - 75) < 1);
  });

  t.test('a caller that expects nothing gets the mean run time', async (t) => {
    const work = new RemainingWork();
    const run = {expectedRunMilliseconds: undefined};
    work.start(run, 0);
    work.end(run, 80);
    work.start(run, 100);
    t.same(work.getReport(100), {remainingMilliseconds: 80, slowness: 1});
  });
});

t.test('reports of the work left', async (t) => {
  const work = {remainingMilliseconds: 380, slowness: 1.4};
  const conditions = [
    undefined,
    {
      isLeaving: false,
      requestsPerSecond: undefined,
      startDelayMilliseconds: 0,
    },
    {isLeaving: true, requestsPerSecond: 6.5, startDelayMilliseconds: 40},
  ];
  for (const condition of conditions) {
    const load = {...LOAD, condition};
    t.same(decodeLoad([...encodeLoad({...load, work})]), {...load, work});
    t.same(decodeLoad([...encodeLoad(load)])?.work, undefined);
  }
  const fields = encodeLoad({...LOAD, work});
  const unusable = [Number.NaN, -1, Number.POSITIVE_INFINITY, 'many'];
  for (const value of unusable) {
    const changed = [...fields.slice(0, -2), value, 100];
    t.match(decodeLoad(changed), LOAD, 'the load holds without the report');
    t.equal(decodeLoad(changed)?.work, undefined, String(value));
  }
});
