import t from 'tap';

import {ConfigurationFreshness} from '../../ConfigurationFreshness.js';
import {
  FAULTS,
  playHistory,
  REVOCATION_MILLISECONDS,
} from '../fixtures/FreshnessHistory.js';

const HISTORIES = 200;

function createFreshness(getAppliedRevision = (): number => 7) {
  return new ConfigurationFreshness({
    firstNumber: 40,
    getAppliedRevision,
    revocationMilliseconds: REVOCATION_MILLISECONDS,
  });
}

function at(now: number, suspended = 0) {
  return {now, wallTime: 1_000_000 + now + suspended};
}

t.test('a confirmation is dated to its request and its age', async (t) => {
  const freshness = createFreshness();
  t.equal(freshness.getAge(at(0)), Number.POSITIVE_INFINITY);
  t.equal(freshness.beginRequest(at(1_000)), 41);
  freshness.recordAnswer(41, {ageMilliseconds: 200, revision: 7}, at(1_900));
  t.equal(freshness.getAge(at(2_000)), 1_200);
  t.equal(freshness.isConfirmed(at(5_300)), true);
  t.equal(freshness.isConfirmed(at(5_301)), false);
});

t.test('a lost request is sent again, an answered one later', async (t) => {
  const freshness = createFreshness();
  t.equal(freshness.beginRequest(at(0)), 41);
  t.equal(freshness.beginRequest(at(299)), undefined);
  t.equal(freshness.beginRequest(at(300)), 42);
  freshness.recordAnswer(42, {ageMilliseconds: 0, revision: 7}, at(310));
  t.equal(freshness.beginRequest(at(1_299)), undefined);
  t.equal(freshness.beginRequest(at(1_300)), 43);
  freshness.recordAnswer(43, {ageMilliseconds: 1_400, revision: 7}, at(1_310));
  t.equal(freshness.beginRequest(at(1_800)), undefined);
  t.equal(freshness.beginRequest(at(1_801)), 44, 'the answer was old');
});

t.test('an answer to no request of this process is ignored', async (t) => {
  const freshness = createFreshness();
  freshness.beginRequest(at(0));
  freshness.recordAnswer(12, {ageMilliseconds: 0, revision: 7}, at(5));
  t.equal(freshness.isConfirmed(at(10)), false);
});

t.test('a confirmation counts once its revision is applied', async (t) => {
  let applied = 7;
  const freshness = createFreshness(() => applied);
  freshness.beginRequest(at(0));
  freshness.recordAnswer(41, {ageMilliseconds: 0, revision: 7}, at(0));
  freshness.beginRequest(at(1_000));
  freshness.recordAnswer(42, {ageMilliseconds: 0, revision: 8}, at(1_010));
  t.equal(freshness.getAge(at(2_000)), 2_000, 'the older one counts');
  applied = 8;
  t.equal(freshness.getAge(at(2_000)), 1_000);
});

t.test('a suspended process drops its confirmation and asks', async (t) => {
  const freshness = createFreshness();
  freshness.beginRequest(at(0));
  freshness.recordAnswer(41, {ageMilliseconds: 0, revision: 7}, at(0));
  t.equal(freshness.isConfirmed(at(100, 250)), true, 'too short to matter');
  t.equal(freshness.isConfirmed(at(100, 6_000)), false);
  t.equal(freshness.beginRequest(at(100, 6_000)), 42);
  freshness.recordLeadership({at: 90, revision: 7}, at(110, 6_000));
  t.equal(freshness.isConfirmed(at(110, 6_000)), false, 'a contact before it');
});

t.test('no request runs with a removed key after the bound', async (t) => {
  let admitted = 0;
  let refused = 0;
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    const history = playHistory(seed);
    if (history.violations > 0) {
      t.fail(
        `seed ${String(seed)}: ${String(history.violations)} admitted late`,
      );
    }
    admitted += history.admitted;
    refused += history.refused;
  }
  t.ok(admitted > refused, 'most requests are admitted');
  t.ok(refused > 0, 'daemons that are cut off refuse');
});

t.test('a calm fleet refuses nothing after its first second', async (t) => {
  for (let seed = 1; seed <= HISTORIES; seed += 10) {
    t.equal(playHistory(seed, {isCalm: true}).refused, 0);
  }
});

for (const fault of FAULTS) {
  t.test(`the histories show the planted fault: ${fault}`, async (t) => {
    let violations = 0;
    for (let seed = 1; seed <= HISTORIES && violations === 0; seed += 1) {
      violations += playHistory(seed, {fault}).violations;
    }
    t.ok(violations > 0);
  });
}
