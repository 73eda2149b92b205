/**
 * Guards against roots that keep being admitted while an instance deep in their call
 * graph is saturated. A running request that timed out a queued call reported no
 * threshold, so its root did not detect the overload.
 */

import type {DaemonHost} from '../../DaemonHost.js';
import type {DaemonGuard} from '../../dataPlane/DaemonGuard.js';
import type {RelayCall} from '../../relay/RelayCall.js';
import type {WaitingRequest} from 'jackdawcove-relay';

import {InstanceAdmission, RouteGate} from 'jackdawcove-relay';
import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {OpenCalls} from '../../relay/OpenCalls.js';
import {RunningRequest} from '../../relay/RunningRequests.js';

const DEADLINE = 3_000;
const ROUTE = 'prices';

function createOpenCalls(): OpenCalls {
  const host = {
    clock: () => 0,
    log: {info: () => undefined, warn: () => undefined},
    metrics: {countEnd: () => undefined, increment: () => undefined},
    randomNumber: () => 0.5,
    settings: {relay: {fairSharePerMille: 500}},
  } as unknown as DaemonHost;
  const guard = {
    closeCall: () => undefined,
    openCall: () => undefined,
  } as unknown as DaemonGuard;
  return new OpenCalls({dialect: {notRunStatuses: new Set()}, guard, host});
}

function createOpenCall(
  parent: RunningRequest | undefined,
  threshold: number,
): RelayCall {
  return {
    deadline: DEADLINE,
    exchange: {answerWithResult: () => undefined},
    facts: {requestIdentifier: 'r-1'},
    parent,
    route: {name: ROUTE},
    shedRank: 2_500,
    startedAt: 0,
    threshold,
  } as unknown as RelayCall;
}

t.test('a call that its running request abandons', async (t) => {
  const parent = new RunningRequest(DEADLINE, false, 2_500);
  const calls = createOpenCalls();
  const call = createOpenCall(parent, 2_100);
  calls.open(call);
  calls.abandon(call);
  t.equal(
    parent.getDownstreamThreshold(),
    2_100,
    'the threshold of its instance is recorded',
  );
  t.equal(parent.failedCalls, 1, 'it counts as failed');
});

t.test('a root call that every instance refuses', async (t) => {
  const calls = createOpenCalls();
  const call = createOpenCall(undefined, 2_100);
  for (let count = 0; count < 40; count += 1) {
    calls.open(call);
    calls.refuse(call, 'shedByAdmission', 0);
  }
  t.notOk(calls.isAdmitted(call, 0), 'the next one is refused at the root');
});

/** Number of root requests by outcome. */
type RootCounts = {
  readonly answered: number;
  readonly begun: number;
  readonly refused: number;
};

type Chain = {
  readonly run: RunningRequest;
  stepsLeft: number;
};

type Step = WaitingRequest & {
  readonly chain: Chain;
  readonly timesOutAt: number;
};

const SLOTS = 41;
const STEPS = 10;
const MEAN_STEP_RUN_MILLISECONDS = 15;
const CALL_TIMEOUT_MILLISECONDS = 150;
const LOAD_MILLISECONDS = 15_000;

/**
 * Simulates root requests that each make ten sequential calls to one instance, with
 * 1.6 times the calls that it can run. A call times out after 150 ms in the queue, and
 * its root request fails with it.
 */
class ChainSimulation {
  #answered = 0;
  readonly #admission = new InstanceAdmission<Step>(0);
  #begun = 0;
  readonly #ends = new Map<number, Step[]>();
  readonly #gate: RouteGate;
  readonly #isThresholdRecorded: boolean;
  #now = 0;
  readonly #random: () => number;
  #refused = 0;
  readonly #waiting = new Set<Step>();

  constructor(seed: number, isThresholdRecorded: boolean) {
    this.#random = createSeededRandom(seed);
    this.#gate = new RouteGate(this.#random);
    this.#isThresholdRecorded = isThresholdRecorded;
    this.#admission.setSlots(SLOTS);
  }

  simulate(rootsPerSecond: number): RootCounts {
    for (; this.#now < LOAD_MILLISECONDS; this.#now += 1) {
      if (this.#random() < rootsPerSecond / 1_000) {
        this.#beginRoot();
      }
      this.#endRuns();
      this.#cancelTimedOut();
      if (this.#now % 10 === 0) {
        this.#admission.tick(this.#now);
      }
    }
    return {
      answered: this.#answered,
      begun: this.#begun,
      refused: this.#refused,
    };
  }

  #beginRoot(): void {
    const importance = this.#random() < 0.4 ? 0 : 2;
    const shedRank = Math.floor((importance + this.#random()) * 1_000);
    if (!this.#gate.admits(ROUTE, shedRank, this.#now)) {
      this.#refused += 1;
      return;
    }
    this.#begun += 1;
    const run = new RunningRequest(this.#now + DEADLINE, false, shedRank);
    this.#call({run, stepsLeft: STEPS});
  }

  #call(chain: Chain): void {
    const step = {
      arrivedAt: this.#now,
      chain,
      expiresAt: this.#now + DEADLINE,
      isRateLimitKnown: false,
      shedRank: chain.run.shedRank,
      timesOutAt: this.#now + CALL_TIMEOUT_MILLISECONDS,
    };
    if (this.#admission.offer(step, this.#now) === 'run') {
      this.#run(step);
    } else {
      this.#waiting.add(step);
    }
  }

  #run(step: Step): void {
    const endAt =
      this.#now +
      Math.round(MEAN_STEP_RUN_MILLISECONDS * (0.5 + this.#random()));
    this.#ends.set(endAt, [...(this.#ends.get(endAt) ?? []), step]);
  }

  #endRuns(): void {
    for (const {chain} of this.#ends.get(this.#now) ?? []) {
      this.#admission.release(this.#now, MEAN_STEP_RUN_MILLISECONDS);
      chain.stepsLeft -= 1;
      chain.run.recordCall(this.#admission.getLoad(this.#now).threshold, true);
      if (chain.stepsLeft > 0) {
        this.#call(chain);
      } else {
        this.#answered += 1;
        this.#endRoot(chain);
      }
    }
    this.#ends.delete(this.#now);
    for (
      let next = this.#admission.takeNext(this.#now);
      next !== undefined;
      next = this.#admission.takeNext(this.#now)
    ) {
      this.#waiting.delete(next);
      this.#run(next);
    }
  }

  #cancelTimedOut(): void {
    for (const step of this.#waiting) {
      if (this.#now >= step.timesOutAt) {
        const {threshold} = this.#admission.getLoad(this.#now);
        this.#admission.remove(step);
        this.#waiting.delete(step);
        step.chain.run.recordCall(
          this.#isThresholdRecorded ? threshold : undefined,
          false,
        );
        this.#endRoot(step.chain);
      }
    }
  }

  #endRoot({run, stepsLeft}: Chain): void {
    this.#gate.recordThreshold(ROUTE, run.getDownstreamThreshold(), this.#now);
    this.#gate.recordOutcome(ROUTE, stepsLeft === 0, this.#now);
  }
}

function countUnanswered({answered, begun}: RootCounts): number {
  return begun - answered;
}

t.test('an overload of root requests that abandon their calls', async (t) => {
  for (const seed of [1, 2, 3]) {
    const withoutThreshold = new ChainSimulation(seed, false).simulate(400);
    const withThreshold = new ChainSimulation(seed, true).simulate(400);
    t.ok(
      countUnanswered(withThreshold) < 0.6 * countUnanswered(withoutThreshold),
      `unanswered root requests: ${String(countUnanswered(withThreshold))} instead of ${String(countUnanswered(withoutThreshold))}`,
    );
    t.ok(
      withThreshold.answered > 0.95 * withoutThreshold.answered,
      `answered: ${String(withThreshold.answered)} instead of ${String(withoutThreshold.answered)}`,
    );
  }
});
