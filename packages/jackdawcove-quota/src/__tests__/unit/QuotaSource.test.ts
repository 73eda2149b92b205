import tap from 'tap';

import {QuotaSource} from '../../QuotaSource.js';

const TIMEOUT_MILLISECONDS = 700;
const INTERVAL_MILLISECONDS = 250;
const HOUR_MILLISECONDS = 3_600_000;

/** `getLead`: by how much older the source says to be, at a time of the receiver. */
const CASES: readonly {
  readonly getLead: (now: number) => number;
  readonly isPaused: boolean;
  readonly name: string;
}[] = [
  {getLead: () => 5_000, isPaused: false, name: 'an older source'},
  {getLead: () => -5_000, isPaused: false, name: 'a younger source'},
  {
    getLead: (now) => -((now / INTERVAL_MILLISECONDS) % 5) * 100,
    isPaused: false,
    name: 'messages that take up to 400 ms',
  },
  {
    getLead: (now) => (now === HOUR_MILLISECONDS / 2 ? -3_000 : 0),
    isPaused: false,
    name: 'one message that takes 3 s',
  },
  {
    getLead: (now) =>
      Math.min(0, -3_000 + Math.abs(now - HOUR_MILLISECONDS / 2)),
    isPaused: false,
    name: 'a link that slows down to 3 s and recovers',
  },
  {
    getLead: (now) => now * 0.0005,
    isPaused: false,
    name: 'a clock that is faster by 500 parts in a million',
  },
  {
    getLead: (now) => now * -0.0005,
    isPaused: false,
    name: 'a clock that is slower by as much',
  },
  {
    getLead: (now) => (now > HOUR_MILLISECONDS / 2 ? 800 : 0),
    isPaused: true,
    name: 'a pause of the receiver of 800 ms',
  },
  {
    getLead: (now) => now * 0.0005 + (now > HOUR_MILLISECONDS / 2 ? 8_000 : 0),
    isPaused: true,
    name: 'a pause of 8 s beside a fast clock',
  },
];

for (const {getLead, isPaused, name} of CASES) {
  tap.test(`age of a source: ${name}`, (t) => {
    const source = new QuotaSource(1, TIMEOUT_MILLISECONDS, 0);
    let wasPaused = false;
    for (let now = 0; now < HOUR_MILLISECONDS; now += INTERVAL_MILLISECONDS) {
      wasPaused ||= source.recordAgeLead(getLead(now), now);
      source.recordHeard(now);
    }
    t.equal(wasPaused, isPaused);
    t.end();
  });
}

tap.test('messages that waited for the receiver tell of its pause', (t) => {
  const source = new QuotaSource(1, TIMEOUT_MILLISECONDS, 0);
  for (let now = 0; now <= 10_000; now += INTERVAL_MILLISECONDS) {
    t.notOk(source.recordAgeLead(0, now));
  }
  const leads = [0, 250, 500, 750];
  t.same(
    leads.map((lead) => source.recordAgeLead(lead, 10_250)),
    [false, false, false, true],
  );
  t.end();
});

tap.test('messages that waited for a busy receiver do not', (t) => {
  const source = new QuotaSource(1, TIMEOUT_MILLISECONDS, 0);
  for (let now = 0; now <= 10_000; now += INTERVAL_MILLISECONDS) {
    t.notOk(source.recordAgeLead(0, now));
  }
  const leads = [-3_000, -2_000, -1_000, 0];
  t.same(
    leads.map((lead) => source.recordAgeLead(lead, 13_000)),
    [false, false, false, false],
  );
  t.end();
});
