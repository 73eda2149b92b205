import type {AttemptArrival} from '../../AttemptRegistry.js';
import type {AttemptResolution} from '../../SessionTypes.js';

import fc from 'fast-check';
import t from 'tap';

import {AnswerSource} from '../../AnswerSource.js';
import {AttemptRegistry} from '../../AttemptRegistry.js';
import {DEFAULT_LIMITS} from '../../SessionConstants.js';

const SEED = 31;
const LIMITS = {
  ...DEFAULT_LIMITS,
  heldAnswerBytes: 1_000,
  heldAnswerCount: 3,
  heldAnswerMilliseconds: 5_000,
};

function createRegistry(fencesAttempts = true) {
  return new AttemptRegistry<{readonly answer: AnswerSource}>({
    fencesAttempts,
    incarnation: 4,
    limits: LIMITS,
  });
}

function createQuery(attemptIdentifier: string, ageMilliseconds = 1_000) {
  return {
    ageMilliseconds,
    attemptIdentifier,
    hasHead: false,
    receivedBytes: 0,
    targetIncarnation: 4,
  };
}

type Registry = ReturnType<typeof createRegistry>;

function registerArrival(
  registry: Registry,
  attempt: string,
  now = 0,
): AttemptArrival {
  const answer = new AnswerSource(1_000);
  answer.body.add(Buffer.alloc(100));
  return registry.registerArrival(attempt, 'left', {answer}, now);
}

const CASES: readonly {
  readonly name: string;
  readonly prepare: (registry: Registry) => void;
  readonly query?: Partial<ReturnType<typeof createQuery>>;
  readonly resolution: AttemptResolution;
  readonly source?: string;
}[] = [
  {
    name: 'the attempt never arrived',
    prepare: () => undefined,
    resolution: 'neverSeen',
  },
  {
    name: 'the attempt is running',
    prepare: (registry) => registerArrival(registry, 'x'),
    resolution: 'running',
  },
  {
    name: 'the answer is held',
    prepare: (registry) => {
      registerArrival(registry, 'x');
      registry.finish('x', 10);
    },
    resolution: 'done',
  },
  {
    name: 'the answer was acknowledged',
    prepare: (registry) => {
      registerArrival(registry, 'x');
      registry.finish('x', 10);
      registry.acknowledge('x');
    },
    resolution: 'unknown',
  },
  {
    name: 'the answer expired',
    prepare: (registry) => {
      registerArrival(registry, 'x');
      registry.finish('x', 10);
      registry.expire(5_010);
    },
    resolution: 'unknown',
  },
  {
    name: 'the held answers exceed their maximum count',
    prepare: (registry) => {
      for (const attempt of ['x', 'a', 'b', 'c']) {
        registerArrival(registry, attempt);
        registry.finish(attempt, 10);
      }
    },
    resolution: 'unknown',
  },
  {
    name: 'the held answers exceed their maximum size',
    prepare: (registry) => {
      registerArrival(registry, 'x');
      registry.finish('x', 10);
      const answer = new AnswerSource(1_000);
      answer.body.add(Buffer.alloc(1_000));
      registry.registerArrival('big', 'left', {answer}, 0);
      registry.finish('big', 10);
    },
    resolution: 'unknown',
  },
  {
    name: 'the attempt was sent to an earlier incarnation',
    prepare: () => undefined,
    query: {targetIncarnation: 3},
    resolution: 'unknown',
  },
  {
    name: 'another daemon asks',
    prepare: (registry) => registerArrival(registry, 'x'),
    resolution: 'unknown',
    source: 'other',
  },
  {
    name: 'the query claims more bytes than were sent',
    prepare: (registry) => registerArrival(registry, 'x'),
    query: {receivedBytes: 101},
    resolution: 'unknown',
  },
  {
    name: 'records from the time of the attempt were removed',
    prepare: (registry) => {
      registerArrival(registry, 'x', 9_000);
      registry.finish('x', 9_000);
      registry.expire(50_000);
    },
    query: {ageMilliseconds: 41_500},
    resolution: 'unknown',
  },
];

t.test('a resolution states only what the records prove', async (t) => {
  for (const {name, prepare, query, resolution, source} of CASES) {
    const registry = createRegistry();
    prepare(registry);
    const resolved = registry.resolve(
      source ?? 'left',
      {...createQuery('x'), ...query},
      50_000,
    );
    t.equal(resolved.resolution, resolution, name);
  }
});

t.test('a fenced attempt is refused only if fencing is enabled', async (t) => {
  const arrivals: readonly (readonly [boolean, AttemptArrival])[] = [
    [true, 'fenced'],
    [false, 'accepted'],
  ];
  for (const [fencesAttempts, arrival] of arrivals) {
    const registry = createRegistry(fencesAttempts);
    registry.resolve('left', createQuery('x'), 10);
    t.equal(registerArrival(registry, 'x', 20), arrival);
  }
  const registry = createRegistry();
  t.equal(registerArrival(registry, 'x'), 'accepted');
  t.equal(registerArrival(registry, 'x'), 'duplicate');
});

t.test(
  'a neverSeen attempt never runs, in any order of operations',
  async () => {
    const stepArbitrary = fc.tuple(
      fc.constantFrom('acknowledge', 'arrive', 'expire', 'finish', 'resolve'),
      fc.constantFrom('a', 'b', 'c', 'd', 'e'),
      fc.integer({max: 20_000, min: 0}),
    );
    fc.assert(
      fc.property(fc.array(stepArbitrary, {maxLength: 60}), (steps) => {
        const registry = createRegistry();
        const ran = new Set<string>();
        const neverSeen = new Set<string>();
        const sentAt = new Map<string, number>();
        let now = 0;
        for (const [kind, attempt, wait] of steps) {
          now += wait;
          sentAt.set(attempt, sentAt.get(attempt) ?? now);
          const age = now - (sentAt.get(attempt) ?? now);
          if (kind === 'arrive' && age < 30_000) {
            const arrival = registerArrival(registry, attempt, now);
            if (arrival === 'accepted') {
              ran.add(attempt);
            }
          } else if (kind === 'resolve') {
            const query = createQuery(attempt, age);
            if (
              registry.resolve('left', query, now).resolution === 'neverSeen'
            ) {
              neverSeen.add(attempt);
            }
          } else if (kind === 'finish') {
            registry.finish(attempt, now);
          } else if (kind === 'acknowledge') {
            registry.acknowledge(attempt);
          } else {
            registry.expire(now);
          }
          const {heldAnswers, heldBytes} = registry.getCounts();
          if (heldAnswers > 3 || heldBytes > 1_000 || heldBytes < 0) {
            return false;
          }
        }
        return [...neverSeen].every((attempt) => !ran.has(attempt));
      }),
      {numRuns: 2_000, seed: SEED},
    );
  },
);
