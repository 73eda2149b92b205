import type {SuspectRecord} from '../../index.js';

import fc from 'fast-check';
import t from 'tap';

import {
  CRASH_RETENTION_MILLISECONDS,
  CrashQuarantine,
  quarantineMessageSchema,
} from '../../index.js';

const SEED = 9;
const SERVICE = 'orders';

function crash(
  quarantine: CrashQuarantine,
  instance: string,
  fingerprints: readonly string[],
  now = 0,
) {
  return quarantine.recordCrash(
    {fingerprints, instance, instanceIncarnation: 1, service: SERVICE},
    now,
  );
}

type Step = (quarantine: CrashQuarantine) => void;

const crashAt =
  (instance: string, ...fingerprints: readonly string[]): Step =>
  (quarantine) => {
    crash(quarantine, instance, fingerprints);
  };
const complete =
  (fingerprint: string): Step =>
  (quarantine) => {
    quarantine.recordCompletion(fingerprint, 1);
  };
const release =
  (fingerprint: string): Step =>
  (quarantine) => {
    quarantine.release(fingerprint, 1);
  };

type Case = {
  readonly at?: number;
  readonly name: string;
  readonly steps: readonly Step[];
  readonly suspicions: Readonly<Record<string, string>>;
};

const CASES: readonly Case[] = [
  {
    name: 'all requests in flight at a crash are suspects',
    steps: [crashAt('a', 'x', 'y')],
    suspicions: {x: 'suspect', y: 'suspect', z: 'clear'},
  },
  {
    name: 'a crash that is recorded twice counts once',
    steps: [crashAt('a', 'x'), crashAt('a', 'x')],
    suspicions: {x: 'suspect'},
  },
  {
    name: 'two crashes quarantine a fingerprint',
    steps: [crashAt('a', 'x'), crashAt('b', 'x')],
    suspicions: {x: 'quarantined'},
  },
  {
    name: 'only known suspects are considered the cause of the next crash',
    steps: [crashAt('a', 'x', 'y'), crashAt('b', 'x', 'z')],
    suspicions: {x: 'quarantined', y: 'suspect', z: 'clear'},
  },
  {
    name: 'a completed request is no longer a suspect',
    steps: [crashAt('a', 'x'), complete('x')],
    suspicions: {x: 'clear'},
  },
  {
    name: 'a completed request does not release a quarantined fingerprint',
    steps: [crashAt('a', 'x'), crashAt('b', 'x'), complete('x')],
    suspicions: {x: 'quarantined'},
  },
  {
    name: 'an operator releases a quarantined fingerprint',
    steps: [crashAt('a', 'x'), crashAt('b', 'x'), release('x')],
    suspicions: {x: 'clear'},
  },
  {
    at: CRASH_RETENTION_MILLISECONDS,
    name: 'crashes expire',
    steps: [crashAt('a', 'x'), crashAt('b', 'x')],
    suspicions: {x: 'clear'},
  },
];

for (const {at, name, steps, suspicions} of CASES) {
  t.test(name, async (t) => {
    const quarantine = new CrashQuarantine();
    for (const step of steps) {
      step(quarantine);
    }
    const now = at ?? 2;
    for (const [fingerprint, suspicion] of Object.entries(suspicions)) {
      t.equal(quarantine.getSuspicion(fingerprint, now), suspicion);
    }
    quarantine.tick(now);
    const listed = Object.values(suspicions).filter((s) => s !== 'clear');
    t.equal(quarantine.list(now).length, listed.length);
  });
}

t.test('the order and duplicates of messages do not matter', async () => {
  const event = fc.record({
    daemon: fc.nat({max: 2}),
    fingerprint: fc.constantFrom('x', 'y'),
    instance: fc.constantFrom('a', 'b', 'c'),
    kind: fc.constantFrom('complete', 'crash', 'release'),
  });
  const orders = fc.array(fc.nat(), {maxLength: 60});
  fc.assert(
    fc.property(fc.array(event, {maxLength: 12}), orders, (events, order) => {
      const daemons = [0, 1, 2].map(() => new CrashQuarantine());
      const sent: SuspectRecord[] = [];
      for (const {daemon, fingerprint, instance, kind} of events) {
        const quarantine = daemons[daemon] as CrashQuarantine;
        const effects =
          kind === 'crash'
            ? crash(quarantine, instance, [fingerprint])
            : kind === 'complete'
              ? quarantine.recordCompletion(fingerprint, 1)
              : quarantine.release(fingerprint, 1);
        sent.push(...effects.flatMap(({records}) => records));
      }
      const states = daemons.map((quarantine, index) => {
        for (const pick of order) {
          const record = sent[(pick + index) % Math.max(1, sent.length)];
          quarantine.merge(record === undefined ? [] : [record], 1);
        }
        quarantine.merge(index === 0 ? sent : sent.toReversed(), 1);
        return ['x', 'y']
          .map((name) => quarantine.getSuspicion(name, 2))
          .join();
      });
      return new Set(states).size === 1;
    }),
    {seed: SEED},
  );
});

t.test(
  'every daemon picks the same instance and avoids crashed ones',
  async (t) => {
    const quarantine = new CrashQuarantine();
    crash(quarantine, 'b', ['x']);
    const picked = quarantine.pickRetryInstance('x', ['a', 'b', 'c']);
    t.not(picked, 'b');
    t.equal(quarantine.pickRetryInstance('x', ['c', 'b', 'a']), picked);
    t.equal(
      quarantine.pickRetryInstance('x', ['b']),
      'b',
      'unless there is no other',
    );
  },
);

t.test('a snapshot transfers all records to a new daemon', async (t) => {
  const quarantine = new CrashQuarantine();
  const names = Array.from({length: 700}, (_, index) => `f${String(index)}`);
  crash(quarantine, 'a', names);
  const other = new CrashQuarantine();
  const messages = quarantine.createSnapshot(10);
  t.equal(messages.length, 2);
  for (const records of messages) {
    other.merge(quarantineMessageSchema.parse({records}).records, 10);
  }
  t.equal(other.list(10).length, 700);
  const [first] = messages[0] ?? [];
  const late = {...(first as SuspectRecord), fingerprint: 'late'};
  const crashes = late.crashes.map((entry) => ({
    ...entry,
    remainingMilliseconds: 10,
  }));
  t.same(other.merge([{...late, crashes}], 10), [], 'too close to expiry');
});
