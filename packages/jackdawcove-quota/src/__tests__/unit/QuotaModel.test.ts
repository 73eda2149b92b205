import type {Fault} from '../QuotaFleet.js';
import type {EventKind, HistoryOptions} from '../QuotaHistory.js';

import tap from 'tap';

import {QuotaHistory} from '../QuotaHistory.js';

/** Histories of each case; more with QUOTA_HISTORIES. */
const SEEDS = Number(process.env.QUOTA_HISTORIES ?? 6);

/** Demand of an organisation over its quota when nothing is unusual. */
const USUAL = 0.625;

const EVENTS: readonly (readonly EventKind[])[] = [
  [],
  ['addDaemons'],
  ['crashLoop'],
  ['cutDaemon'],
  ['cutZone'],
  ['cutZone', 'killSome'],
  ['killAll'],
  ['killSome'],
  ['lowerQuotas'],
  ['pauseAggregator'],
  ['pauseSome'],
  ['pauseZone'],
];

function countViolations(options: Omit<HistoryOptions, 'seed'>): number {
  let violations = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const {excess} = new QuotaHistory({...options, seed}).run();
    violations += excess > 0 ? 1 : 0;
  }
  return violations;
}

for (const events of EVENTS) {
  const name = events.join(' and ') || 'no failure';
  tap.test(`no window exceeds its quota: ${name}`, (t) => {
    t.equal(countViolations({demandRatio: USUAL, events, isHot: true}), 0);
    t.equal(countViolations({demandRatio: 1.5, events}), 0);
    t.end();
  });
}

tap.test('quotas are used at 1.5 times the demand, and else not felt', (t) => {
  let use = 0;
  let refused = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const over = new QuotaHistory({demandRatio: 1.5, events: [], seed}).run();
    const usual = new QuotaHistory({
      demandRatio: USUAL,
      events: [],
      seed,
    }).run();
    use += over.use / SEEDS;
    refused += usual.refused / SEEDS;
  }
  t.ok(use >= 0.95, `use ${use.toFixed(3)}`);
  t.ok(refused <= 0.001, `refused ${refused.toFixed(4)}`);
  t.end();
});

/** Largest share of the requests that a failure may have refused within the quota. */
const MAXIMUM_REFUSED = 0.01;

for (const event of ['killSome', 'pauseAggregator', 'pauseSome'] as const) {
  tap.test(`quotas are not felt: ${event}`, (t) => {
    let refused = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const options = {demandRatio: USUAL, events: [event], seed};
      refused += new QuotaHistory(options).run().refused / SEEDS;
    }
    t.ok(refused <= MAXIMUM_REFUSED, `refused ${refused.toFixed(4)}`);
    t.end();
  });
}

const FAULTS: readonly (readonly [
  fault: Exclude<Fault, 'none'>,
  event: EventKind,
  demandRatio: number,
])[] = [
  ['cutZoneBorrows', 'cutZone', USUAL],
  ['restartWithFullBucket', 'crashLoop', 1.5],
  ['shareUsedAfterEnd', 'cutEach', USUAL],
  ['twinAggregators', 'addDaemons', USUAL],
];

for (const [fault, event, demandRatio] of FAULTS) {
  tap.test(`planted fault is found: ${fault}`, (t) => {
    const options = {demandRatio, events: [event], isHot: true};
    t.ok(countViolations({...options, fault}) > 0);
    t.equal(countViolations(options), 0, 'nothing is found without it');
    t.end();
  });
}
