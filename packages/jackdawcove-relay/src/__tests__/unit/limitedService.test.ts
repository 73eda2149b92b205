import type {WaitingRequest} from '../../server/InstanceAdmission.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {RouteGate} from '../../caller/RouteGate.js';
import {InstanceAdmission} from '../../server/InstanceAdmission.js';

const TICK_MILLISECONDS = 40;
const DURATION_MILLISECONDS = 40_000;
const WARM_UP_MILLISECONDS = 5_000;
const PATIENCE_MILLISECONDS = 600;
const RUN_MILLISECONDS = 100;

/** Time that a fleet may take to return to normal. */
const RECOVERY_MILLISECONDS = 1_000;

/** A load with the rate limit of the only instance; undefined: no limit. */
type Load = {
  readonly demand: number;
  readonly daemonCount: number;
  readonly drawRank: (randomNumber: number) => number;
  readonly getRate: (now: Milliseconds) => number | undefined;
};

type Played = {
  /** Time of the first answer that stated no limit. */
  readonly limitEndedAt: Milliseconds;
  readonly offered: readonly number[];
  /** Times at which a daemon refused a request at its root. */
  readonly refusedAt: readonly Milliseconds[];
  readonly served: readonly number[];
};

type Shares = {
  /** Share of the requests of each importance that were served. */
  readonly byImportance: readonly number[];
  /** Served requests as a share of what the rate limit allows. */
  readonly used: number;
};

type PlayedRequest = WaitingRequest & {readonly gate: RouteGate};

/**
 * Plays requests to a service whose only instance has a rate limit. Their daemons refuse
 * by the threshold of its answers.
 */
function play(
  {daemonCount, demand, drawRank, getRate}: Load,
  seed: number,
): Played {
  const random = createSeededRandom(seed);
  const admission = new InstanceAdmission<PlayedRequest>(0);
  const gates = Array.from({length: daemonCount}, () => new RouteGate(random));
  admission.setSlots(40);
  admission.setCondition({isLeaving: false, requestsPerSecond: getRate(0)}, 0);
  const offered = [0, 0, 0];
  const served = [0, 0, 0];
  const refusedAt: Milliseconds[] = [];
  let limitEndedAt = Number.POSITIVE_INFINITY;
  const recordThreshold = (
    gate: RouteGate,
    rank: number,
    now: number,
  ): void => {
    const {threshold} = admission.getLoad(now);
    gate.recordThreshold(getRoute(rank), threshold, now);
  };
  let ends: {at: number; request: PlayedRequest}[] = [];
  const run = (request: PlayedRequest, now: number): void => {
    ends.push({at: now + RUN_MILLISECONDS, request});
    if (now >= WARM_UP_MILLISECONDS) {
      count(served, request.shedRank);
    }
  };
  const runQueued = (now: number): void => {
    for (;;) {
      const next = admission.takeNext(now);
      if (next === undefined) {
        return;
      }
      run(next, now);
    }
  };
  for (let now = 0; now < DURATION_MILLISECONDS; now += 2) {
    for (const {request} of ends.filter(({at}) => at <= now)) {
      const requestsPerSecond = getRate(now);
      if (requestsPerSecond === undefined) {
        limitEndedAt = Math.min(limitEndedAt, now);
      }
      admission.setCondition({isLeaving: false, requestsPerSecond}, now);
      admission.release(now, RUN_MILLISECONDS);
      recordThreshold(request.gate, request.shedRank, now);
    }
    ends = ends.filter(({at}) => at > now);
    runQueued(now);
    if (now % TICK_MILLISECONDS === 0) {
      admission.tick(now);
      for (const {gate, shedRank} of admission.takeExpired(now)) {
        recordThreshold(gate, shedRank, now);
      }
    }
    runQueued(now);
    if (random() * 1_000 < demand * 2) {
      const rank = drawRank(random());
      const gate = gates[Math.floor(random() * daemonCount)];
      if (now >= WARM_UP_MILLISECONDS) {
        count(offered, rank);
      }
      if (gate === undefined || !gate.admits(getRoute(rank), rank, now)) {
        refusedAt.push(now);
        continue;
      }
      const request = {
        arrivedAt: now,
        expiresAt: now + PATIENCE_MILLISECONDS,
        gate,
        isRateLimitKnown: true,
        shedRank: rank,
      };
      const decision = admission.offer(request, now);
      if (decision === 'run') {
        run(request, now);
      } else if (decision === 'full') {
        recordThreshold(gate, rank, now);
      }
    }
  }
  return {limitEndedAt, offered, refusedAt, served};
}

/** Plays requests of three importances, each with a route of its own. */
function playLimit(rate: number, demand: number, seed: number): Shares {
  const load = {
    daemonCount: 1,
    demand,
    drawRank: (randomNumber: number) => Math.floor(randomNumber * 3_000),
    getRate: () => rate,
  };
  const {offered, served} = play(load, seed);
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
        const {byImportance, used} = playLimit(rate, demand, seed);
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

const LIMITED_MILLISECONDS = [500, 1_000, 2_000, 5_000];

for (const limited of LIMITED_MILLISECONDS) {
  t.test(
    `callers are served within a second of the first answer without a limit that held for ${String(limited)} ms`,
    async (t) => {
      for (let seed = 1; seed <= 20; seed += 1) {
        const {limitEndedAt, refusedAt} = play(
          {
            daemonCount: 3,
            demand: 66,
            drawRank: (randomNumber) =>
              1_000 + Math.floor(randomNumber * 1_000),
            getRate: (now) => (now < limited ? 8 : undefined),
          },
          seed,
        );
        const late = refusedAt.filter(
          (at) => at >= limitEndedAt + RECOVERY_MILLISECONDS,
        );
        t.same(late, [], `seed ${String(seed)}`);
      }
    },
  );
}
