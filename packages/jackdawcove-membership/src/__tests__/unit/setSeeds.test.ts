import type {MembershipEffect} from '../../index.js';

import {formatAddress} from 'jackdawcove-shared';
import t from 'tap';

import {Membership, TICK_INTERVAL_MS} from '../../index.js';

const OLD_SEED = {host: '10.0.0.1', port: 7_103};
const NEW_SEED = {host: '10.0.0.9', port: 7_103};

function getJoins(effects: readonly MembershipEffect[]): readonly string[] {
  return effects.flatMap((effect) =>
    effect.kind === 'sendMessage' && effect.message.kind === 'join'
      ? [formatAddress(effect.address)]
      : [],
  );
}

t.test('exchanged seeds are contacted at the next tick', async (t) => {
  const membership = new Membership({
    local: {
      address: {host: '10.0.0.5', port: 7_103},
      administrationAddress: {host: '10.0.0.5', port: 7_104},
      availabilityZone: 'erie-dock',
      incarnation: 1,
      isVoter: false,
      name: 'erie-5',
      region: 'lakes',
    },
    now: 0,
    randomNumber: () => 0.5,
    seeds: [OLD_SEED],
  });
  t.same(getJoins(membership.join(0)), [formatAddress(OLD_SEED)]);
  membership.setSeeds([NEW_SEED], TICK_INTERVAL_MS);
  t.same(
    getJoins(membership.tick(2 * TICK_INTERVAL_MS)),
    [formatAddress(NEW_SEED)],
    'the old seed is not contacted any more',
  );
});
