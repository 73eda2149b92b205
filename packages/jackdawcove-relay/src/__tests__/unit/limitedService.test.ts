import type {WaitingRequest} from '../../server/InstanceAdmission.js';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {RouteGate} from '../../caller/RouteGate.js';
import {InstanceAdmission} from '../../server/InstanceAdmission.js';

const TICK_MILLISECONDS = 40;
const DURATION_MILLISECONDS = 40_000;
const WARM_UP_MILLISECONDS = 5_000;
const PATIENCE_MILLISECONDS = 600;
const RUN_MILLISECONDS = 100;

type Shares = {
  /** Share of the requests of each importance that were served. */
  readonly byImportance: readonly number[];
  /** Served requests as a share of what the rate limit allows. */
  readonly used: number;
};

/**
 * Plays requests of three importances, each with a route of its own, to a service whose
 * only instance has a rate limit. Their daemons refuse by the threshold of its answers.
 */
function play(rate: number, demand: number, seed: number): Shares {
  const random = createSeededRandom(seed);
  const admission = new InstanceAdmission<WaitingRequest>(0);
  const gate = new RouteGate(random);
  admission.setSlots(40);
  admission.setCondition({isLeaving: false, requestsPerSecond: rate}, 0);
  const offered = [0, 0, 0];
  const served = [0, 0, 0];
  let ends: {at: number; rank: number}[] = [];
  const run = (rank: number, now: number): void => {
    ends.push({at: now + RUN_MILLISECONDS, rank});
    if (now >= WARM_UP_MILLISECONDS) {
      count(served, rank);
    }
  };
  for (let now = 0; now < DURATION_MILLISECONDS; now += 2) {
    for (const {rank} of ends.filter(({at}) => at <= now)) {
      admission.release(now, RUN_MILLISECONDS);
      const {threshold} = admission.getLoad(now);
      gate.recordThreshold(getRoute(rank), threshold, now);
    }
    ends = ends.filter(({at}) => at > now);
    if (now % TICK_MILLISECONDS === 0) {
      admission.tick(now);
      for (const {shedRank} of admission.takeExpired(now)) {
        const {threshold} = admission.getLoad(now);
        gate.recordThreshold(getRoute(shedRank), threshold, now);
      }
    }
    for (;;) {
      const next = admission.takeNext(now);
      if (next === undefined) {
        break;
      }
      run(next.shedRank, now);
    }
    if (random() * 1_000 < demand * 2) {
      const rank = Math.floor(random() * 3_000);
      if (now >= WARM_UP_MILLISECONDS) {
        count(offered, rank);
      }
      if (!gate.admits(getRoute(rank), rank, now)) {
        continue;
      }
      const request = {
        arrivedAt: now,
        expiresAt: now + PATIENCE_MILLISECONDS,
        isRateLimitKnown: true,
        shedRank: rank,
      };
      const decision = admission.offer(request, now);
      if (decision === 'run') {
        run(rank, now);
      } else if (decision === 'full') {
        const {threshold} = admission.getLoad(now);
        gate.recordThreshold(getRoute(rank), threshold, now);
      }
    }
  }
  const seconds = (DURATION_MILLISECONDS - WARM_UP_MILLISECONDS) / 1_000;
  return {
    byImportance: served.map((value, index) => value / (offered[index] ?? 1)),
    used: served.reduce((sum, value) => sum + value, 0) / (rate * seconds),
  };
}

function count(counts: number[], rank: number): void {
  const index = Math.floor(rank / 1_000);
  counts[index] = (counts[index] ?? 0) + 1;
}

function getRoute(rank: number): string {
  return `route-${String(Math.floor(rank / 1_000))}`;
}

const LOADS = [
  {demand: 12, rate: 6},
  {demand: 40, rate: 6},
  {demand: 40, rate: 20},
  {demand: 200, rate: 60},
];

for (const {demand, rate} of LOADS) {
  t.test(
    `callers get the whole rate of a limited service, the important ones first: ${String(demand)}/s at a limit of ${String(rate)}/s`,
    async (t) => {
      for (const seed of [1, 2, 3]) {
        const {byImportance, used} = play(rate, demand, seed);
        const [first = 0, , last = 0] = byImportance;
        t.ok(used > 0.8, `${used.toFixed(2)} of the rate is used`);
        t.ok(used < 1.05, 'the rate is kept');
        // A third of the demand is of the first importance.
        const possible = Math.min(1, rate / (demand / 3));
        t.ok(
          first > 0.75 * possible,
          `${first.toFixed(2)} of the most important, ${possible.toFixed(2)} possible`,
        );
        t.ok(last <= first, `${last.toFixed(2)} of the least important`);
      }
    },
  );
}
