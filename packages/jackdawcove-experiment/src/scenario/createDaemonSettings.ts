/** Settings of the daemons of a scenario. */

import type {Address} from 'jackdawcove-shared';

import {createServer} from 'node:net';

import {formatAddress} from 'jackdawcove-shared';

const LOOPBACK = '127.0.0.1';
const FLEET_KEY = 'experiment-fleet-key-0123456789abcdef';

/** Tokens for the administration API of the daemons. */
export const EXPERIMENT_TOKENS = {
  change: 'experiment-change-token-0123456789',
  read: 'experiment-read-token-0123456789ab',
} as const;

/** Addresses reserved for one daemon, which keeps them after a restart. */
export type ReservedAddresses = {
  readonly administration: Address;
  readonly caller: Address;
  readonly fleet: Address;
  readonly local: Address;
};

/** Name, place and addresses of one daemon of a scenario. */
export type DaemonPlan = {
  readonly addresses: ReservedAddresses;
  readonly availabilityZone: string;
  readonly dataFolder: string;
  readonly isVoter: boolean;
  readonly name: string;
};

/** Settings that all daemons of a scenario share. */
export type FleetPlan = {
  readonly availabilityZones: readonly string[];
  readonly seeds: readonly Address[];
  readonly voters: readonly string[];
};

async function reservePort(): Promise<Address> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, LOOPBACK, () => {
      const bound = server.address();
      const port = typeof bound === 'object' && bound ? bound.port : 0;
      server.close(() => {
        resolve({host: LOOPBACK, port});
      });
    });
  });
}

/** Reserves free loopback addresses for one daemon. */
export async function reserveAddresses(): Promise<ReservedAddresses> {
  const [administration, caller, fleet, local] = await Promise.all([
    reservePort(),
    reservePort(),
    reservePort(),
    reservePort(),
  ]);
  return {administration, caller, fleet, local};
}

/**
 * Creates the settings text of one daemon.
 *
 * @example
 * parseSettings(createDaemonSettings(plan, fleet), 'experiment');
 */
export function createDaemonSettings(
  plan: DaemonPlan,
  fleet: FleetPlan,
): string {
  const {addresses} = plan;
  const lines = [
    '[daemon]',
    `name = ${plan.name}`,
    'region = loopback',
    `availability_zone = ${plan.availabilityZone}`,
    `data_folder = ${plan.dataFolder}`,
    '[listen]',
    `caller = ${formatAddress(addresses.caller)}`,
    `local = ${formatAddress(addresses.local)}`,
    `fleet = ${formatAddress(addresses.fleet)}`,
    `administration = ${formatAddress(addresses.administration)}`,
    '[fleet]',
    `key = ${FLEET_KEY}`,
    `seeds = ${fleet.seeds.map(formatAddress).join(', ')}`,
    `availability_zones = ${fleet.availabilityZones.join(', ')}`,
    '[control]',
    `voter = ${String(plan.isVoter)}`,
    `initial_voters = ${fleet.voters.join(', ')}`,
    '[administration]',
    `read_token = ${EXPERIMENT_TOKENS.read}`,
    `change_token = ${EXPERIMENT_TOKENS.change}`,
    '[log]',
    'level = fatal',
  ];
  return `${lines.join('\n')}\n`;
}
