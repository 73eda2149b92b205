/** Fleet of metered daemons without backend servers. */

import type {DaemonPlan, FleetPlan} from '../scenario/createDaemonSettings.js';

import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {
  createDaemonSettings,
  reserveAddresses,
} from '../scenario/createDaemonSettings.js';
import {MeteredDaemon} from './MeteredDaemon.js';

const AVAILABILITY_ZONES = ['erie-dock', 'huron-yard', 'ontario-cellar'];
const FOLDER_PREFIX = 'jackdawcove-capacity-';
const VOTER_COUNT = 3;

/** One daemon of the fleet with its plan. */
export type MeteredMember = {
  readonly daemon: MeteredDaemon;
  readonly plan: DaemonPlan;
};

/** Starts and stops metered daemons. */
export class MeteredFleet {
  readonly #count: number;
  #folder = '';
  #members: readonly MeteredMember[] = [];

  constructor(count: number) {
    this.#count = count;
  }

  /** Members in order of their names; the first `VOTER_COUNT` are voters. */
  getMembers(): readonly MeteredMember[] {
    return this.#members;
  }

  /** Starts all daemons. */
  async start(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), FOLDER_PREFIX));
    const plans = await Promise.all(
      Array.from({length: this.#count}, async (_item, index) =>
        this.#planDaemon(index),
      ),
    );
    const fleet: FleetPlan = {
      availabilityZones: AVAILABILITY_ZONES,
      seeds: plans.slice(0, VOTER_COUNT).map(({addresses}) => addresses.fleet),
      voters: plans.filter(({isVoter}) => isVoter).map(({name}) => name),
    };
    this.#members = plans.map((plan) => ({daemon: new MeteredDaemon(), plan}));
    await Promise.all(
      this.#members.map(async ({daemon, plan}) =>
        daemon.start(createDaemonSettings(plan, fleet)),
      ),
    );
  }

  /** Kills all daemons and removes their data folders. */
  async stop(): Promise<void> {
    this.#members.forEach(({daemon}) => {
      daemon.stop();
    });
    await rm(this.#folder, {force: true, maxRetries: 5, recursive: true});
  }

  async #planDaemon(index: number): Promise<DaemonPlan> {
    const name = `daemon-${String(index + 1)}`;
    const zone = AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length];
    return {
      addresses: await reserveAddresses(),
      availabilityZone: zone ?? name,
      dataFolder: join(this.#folder, name),
      isVoter: index < VOTER_COUNT,
      name,
    };
  }
}
