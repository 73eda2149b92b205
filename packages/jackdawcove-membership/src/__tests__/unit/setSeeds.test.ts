import type {MembershipEffect} from '../../index.js';

import {formatAddress} from 'jackdawcove-shared';
import t from 'tap';

import {Membership, TICK_INTERVAL_MS} from '../../index.js';

const OLD_SEED = {host: '10.0.0.1', port: 7_103};
const NEW_SEED = {host: '10.0.0.9', port: 7_103};

function getMessages(
  effects: readonly MembershipEffect[],
): readonly (readonly [string, string])[] {
  return effects.flatMap((effect) =>
    effect.kind === 'sendMessage'
      ? [[effect.message.kind, formatAddress(effect.address)] as const]
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
  t.same(getMessages(membership.join(0)), [['state', formatAddress(OLD_SEED)]]);
  membership.setSeeds([NEW_SEED], TICK_INTERVAL_MS);
  t.same(
    getMessages(membership.tick(2 * TICK_INTERVAL_MS)),
    [['state', formatAddress(NEW_SEED)]],
    'the old seed is not contacted any more',
  );
  t.same(
    getMessages(
      membership.receive(
        {kind: 'state', records: [], requestedBuckets: []},
        {address: NEW_SEED, daemon: 'erie-9'},
        3 * TICK_INTERVAL_MS,
      ),
    ),
    [['join', formatAddress(NEW_SEED)]],
    'the daemon joins once it knows of its earlier process',
  );
});
