import type {AdmissionEffect, AdmissionSwitches} from '../../index.js';
import type {Importance} from 'jackdawcove-shared';

import fc from 'fast-check';
import {
  createSeededRandom,
  getImportanceRank,
  IMPORTANCES,
} from 'jackdawcove-shared';
import t from 'tap';

import {AdmissionController, DEFAULT_ADMISSION_SWITCHES} from '../../index.js';

const SLOTS = 4;
const SEED = 3;
const TICK_MILLISECONDS = 10;

const WITHOUT_RAMP: AdmissionSwitches = {
  ...DEFAULT_ADMISSION_SWITCHES,
  isRamping: false,
};

function createController(
  switches = WITHOUT_RAMP,
  slots = SLOTS,
): AdmissionController {
  const controller = new AdmissionController({switches});
  controller.start({connections: slots * 8, slots});
  return controller;
}

function offer(
  controller: AdmissionController,
  identifier: string,
  importance: Importance,
  now = 0,
  overrides: {cohort?: number; deadline?: number; isExclusive?: boolean} = {},
): readonly AdmissionEffect[] {
  return controller.offer(
    {
      deadline: overrides.deadline ?? now + 10_000,
      identifier,
      importance,
      isExclusive: overrides.isExclusive ?? false,
      priority: getImportanceRank(importance) + (overrides.cohort ?? 0.5),
    },
    now,
  );
}

function fillSlots(
  controller: AdmissionController,
  importance: Importance,
): void {
  for (let slot = 0; slot < SLOTS; slot += 1) {
    offer(controller, `running-${String(slot)}`, importance);
  }
}

function format(effects: readonly AdmissionEffect[]): string {
  return effects
    .map(({identifier, kind}) => `${kind} ${identifier}`)
    .join(', ');
}

const SUCCESS = {isSuccess: true, ownMilliseconds: 10};

t.test('admits up to the limit, then by importance and cohort', async (t) => {
  const controller = createController();
  fillSlots(controller, 'normal');
  t.same(offer(controller, 'low', 'normal', 0, {cohort: 0.1}), []);
  t.same(offer(controller, 'first', 'high'), []);
  t.same(offer(controller, 'middle', 'normal', 0, {cohort: 0.9}), []);
  const order = [0, 1, 2].map((slot) =>
    format(controller.complete(`running-${String(slot)}`, SUCCESS, 1)),
  );
  t.same(order, ['admit first', 'admit middle', 'admit low']);
});

t.test('an arrival displaces the least important queued request', async (t) => {
  const controller = createController();
  fillSlots(controller, 'normal');
  for (let index = 0; index < SLOTS; index += 1) {
    offer(controller, `waiting-${String(index)}`, 'normal', 0, {
      cohort: 0.8 - index / 10,
    });
  }
  t.equal(format(offer(controller, 'new', 'high')), 'refuse waiting-3');
  t.equal(format(offer(controller, 'least', 'background')), 'refuse least');
});

t.test('expired requests are refused before they run', async (t) => {
  const controller = createController();
  t.match(offer(controller, 'late', 'urgent', 5, {deadline: 5}), [
    {result: 'deadlineExceededBeforeDispatch'},
  ]);
  fillSlots(controller, 'normal');
  offer(controller, 'waiting', 'normal', 0, {deadline: 20});
  t.match(controller.tick(30), [{identifier: 'waiting', kind: 'refuse'}]);
});

t.test('a suspect runs alone', async (t) => {
  const controller = createController();
  offer(controller, 'other', 'normal');
  t.same(offer(controller, 'suspect', 'normal', 0, {isExclusive: true}), []);
  t.same(offer(controller, 'next', 'urgent'), []);
  t.equal(format(controller.complete('other', SUCCESS, 1)), 'admit suspect');
  t.same(controller.tick(2), []);
  t.equal(format(controller.complete('suspect', SUCCESS, 3)), 'admit next');
});

t.test('a suspect that expires in the queue blocks no request', async (t) => {
  const controller = createController();
  offer(controller, 'other', 'normal');
  offer(controller, 'suspect', 'normal', 0, {deadline: 20, isExclusive: true});
  offer(controller, 'next', 'normal');
  t.equal(format(controller.tick(20)), 'refuse suspect, admit next');
});

t.test('a cold start ramps the limit up to the slots', async (t) => {
  const controller = createController(DEFAULT_ADMISSION_SWITCHES, 32);
  t.equal(controller.getLoad().limit, 4);
  for (let index = 0; index < 100; index += 1) {
    const identifier = String(index);
    offer(controller, identifier, 'normal', index);
    controller.complete(identifier, SUCCESS, index);
  }
  t.equal(controller.getLoad().limit, 32);
  controller.resize({connections: 8, slots: 32}, 200);
  t.equal(
    controller.getLoad().limit,
    8,
    'the limit does not exceed the connections',
  );
});

type RunResult = {
  readonly hasShedUrgentTooEarly: boolean;
  readonly highestInFlight: number;
  readonly refusals: number;
};

/** Offers random requests faster than they complete and checks the refusals. */
function runRandomly(switches: AdmissionSwitches, seed: number): RunResult {
  const randomNumber = createSeededRandom(seed);
  const controller = createController(switches);
  const running = new Map<string, Importance>();
  const waiting = new Map<string, Importance>();
  let hasShedUrgentTooEarly = false;
  let highestInFlight = 0;
  let refusals = 0;
  const applyEffects = (effects: readonly AdmissionEffect[]): void => {
    for (const effect of effects) {
      const importance = waiting.get(effect.identifier) ?? 'normal';
      waiting.delete(effect.identifier);
      if (effect.kind === 'admit') {
        running.set(effect.identifier, importance);
        continue;
      }
      refusals += 1;
      const others = [...running.values(), ...waiting.values()];
      const hasLower = others.some((other) => other !== 'urgent');
      const isShed = effect.result === 'shedByAdmission';
      hasShedUrgentTooEarly ||= importance === 'urgent' && isShed && hasLower;
    }
    highestInFlight = Math.max(highestInFlight, running.size);
  };
  for (let step = 0; step < 1_500; step += 1) {
    const now = step * 2;
    const chance = randomNumber();
    if (chance < 0.6) {
      const rank = Math.floor(randomNumber() * IMPORTANCES.length);
      const importance = IMPORTANCES[rank] as Importance;
      const identifier = String(step);
      waiting.set(identifier, importance);
      applyEffects(
        offer(controller, identifier, importance, now, {
          cohort: randomNumber(),
        }),
      );
    } else if (chance < 0.75 && running.size > 0) {
      const [identifier] = [...running.keys()];
      running.delete(identifier as string);
      applyEffects(controller.complete(identifier as string, SUCCESS, now));
    } else {
      applyEffects(controller.tick(now));
    }
  }
  return {hasShedUrgentTooEarly, highestInFlight, refusals};
}

t.test(
  'urgent requests are shed only when nothing of lower importance is queued or in flight',
  async (t) => {
    fc.assert(
      fc.property(fc.integer({max: 1_000_000, min: 1}), (seed) => {
        const run = runRandomly(WITHOUT_RAMP, seed);
        return (
          !run.hasShedUrgentTooEarly &&
          run.highestInFlight <= SLOTS &&
          run.refusals > 0
        );
      }),
      {numRuns: 40, seed: SEED},
    );
    const unordered = {...WITHOUT_RAMP, isOrderedByPriority: false};
    t.ok(runRandomly(unordered, SEED).hasShedUrgentTooEarly, 'unordered queue');
    const unlimited = {...WITHOUT_RAMP, isLimiting: false};
    t.ok(runRandomly(unlimited, SEED).highestInFlight > SLOTS, 'no limit');
  },
);

t.test(
  'the threshold rises under pressure and returns to 0 within 1 s',
  async (t) => {
    const controller = createController();
    let now = 0;
    let effectCount = 0;
    for (; now < 1_000; now += TICK_MILLISECONDS / 2) {
      const effects = offer(controller, String(now), 'normal', now, {
        cohort: (now % 97) / 97,
      });
      effectCount += effects.length;
      const isBusy = controller.getLoad().inFlight === SLOTS;
      if (isBusy && now % 40 === 0) {
        controller.tick(now);
      }
    }
    t.ok(
      controller.getLoad().threshold > 1,
      String(controller.getLoad().threshold),
    );
    t.ok(effectCount > 0);
    controller.refuseQueued('shedByAdmission');
    const end = now + 1_000;
    for (; now < end; now += TICK_MILLISECONDS) {
      controller.tick(now);
    }
    t.equal(controller.getLoad().threshold, 0);
  },
);
