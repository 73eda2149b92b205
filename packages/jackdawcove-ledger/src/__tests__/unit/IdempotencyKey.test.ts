import fc from 'fast-check';
import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {getHomeZone, getSlice} from '../../IdempotencyKey.js';
import {mintIdempotencyKey, parseIdempotencyKey} from '../../index.js';

const UUID = '01890a5d-ac96-774b-bcce-b302099a8057';
const ZONES = ['erie-dock', 'huron-yard', 'zone.with.dots'];

const CASES = [
  {expected: undefined, name: 'no prefix', text: UUID, valid: true},
  {
    expected: 'erie-dock',
    name: 'zone prefix',
    text: `erie-dock.${UUID}`,
    valid: true,
  },
  {
    expected: 'zone.with.dots',
    name: 'dots in the zone',
    text: `zone.with.dots.${UUID}`,
    valid: true,
  },
  {
    expected: undefined,
    name: 'upper case',
    text: UUID.toUpperCase(),
    valid: true,
  },
  {
    expected: undefined,
    name: 'version 4',
    text: '01890a5d-ac96-474b-bcce-b302099a8057',
    valid: false,
  },
  {
    expected: undefined,
    name: 'wrong variant',
    text: '01890a5d-ac96-774b-0cce-b302099a8057',
    valid: false,
  },
  {expected: undefined, name: 'empty zone', text: `.${UUID}`, valid: false},
  {
    expected: undefined,
    name: 'space in the zone',
    text: `a b.${UUID}`,
    valid: false,
  },
  {expected: undefined, name: 'trailing text', text: `${UUID}0`, valid: false},
  {expected: undefined, name: 'empty', text: '', valid: false},
];

for (const {expected, name, text, valid} of CASES) {
  t.test(name, async (t) => {
    const key = parseIdempotencyKey(text);
    t.equal(key !== undefined, valid);
    t.equal(key?.zonePrefix, expected);
  });
}

t.test(
  'minted keys parse and keep their mint time and home zone',
  async (t) => {
    fc.assert(
      fc.property(
        fc.integer({max: 2 ** 47, min: 0}),
        fc.integer(),
        fc.constantFrom(...ZONES),
        (mintedAt, seed, zone) => {
          const text = mintIdempotencyKey(
            zone,
            mintedAt,
            createSeededRandom(seed),
          );
          const key = parseIdempotencyKey(text);
          return (
            key?.mintedAtMilliseconds === mintedAt &&
            getHomeZone(key, ZONES) === zone &&
            getSlice(key.identifier, 32) < 32
          );
        },
      ),
      {seed: 1},
    );
    t.pass('every minted key satisfies the property');
  },
);

t.test(
  'a key without a prefix has one home zone, a key of another fleet has none',
  async (t) => {
    const bare = parseIdempotencyKey(UUID);
    const foreign = parseIdempotencyKey(`elsewhere.${UUID}`);
    if (bare === undefined || foreign === undefined) {
      t.fail('a valid key was not parsed');
      return;
    }
    t.ok(ZONES.includes(getHomeZone(bare, ZONES) ?? ''));
    t.equal(getHomeZone(bare, ZONES), getHomeZone(bare, [...ZONES]));
    t.equal(getHomeZone(foreign, ZONES), undefined);
  },
);
