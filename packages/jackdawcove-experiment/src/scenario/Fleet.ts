/** Daemons and stand-in backend servers of a scenario, on loopback. */

import type {Baseline} from '../process/ProcessMessages.js';
import type {StandInSettings} from '../standIn/StandInTypes.js';
import type {DaemonPlan, FleetPlan} from './createDaemonSettings.js';
import type {Scenario} from './ScenarioSettings.js';
import type {Address} from 'jackdawcove-shared';

import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {DaemonChild} from '../process/DaemonChild.js';
import {StandInHost} from '../process/StandInHost.js';
import {parseChildCall} from './Capacity.js';
import {
  createDaemonSettings,
  reserveAddresses,
} from './createDaemonSettings.js';

const FOLDER_PREFIX = 'jackdawcove-experiment-';
const MAXIMUM_SEEDS = 3;

/** One member of the fleet: a daemon and its local stand-in backend server. */
export type FleetMember = {
  readonly daemon: DaemonChild;
  readonly plan: DaemonPlan;
  readonly standIn: StandInSettings;
};

/** Starts and stops the processes of a scenario. */
export class Fleet {
  readonly #members: FleetMember[] = [];
  readonly #scenario: Scenario;
  readonly #standInHost = new StandInHost();
  readonly #standInAddresses = new Map<string, Address>();
  #folder = '';

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
  }

  /** Members of the fleet in the order of their services. */
  getMembers(): readonly FleetMember[] {
    return this.#members;
  }

  /** Handle of the process that runs the stand-in backend servers. */
  getStandInHost(): StandInHost {
    return this.#standInHost;
  }

  /** Returns the address of a started stand-in; throws when it has not started. */
  getStandInAddress(instance: string): Address {
    const address = this.#standInAddresses.get(instance);
    if (address === undefined) {
      throw new Error(`Stand-in ${instance} has not started.`);
    }
    return address;
  }

  /** Addresses to which callers send requests. */
  getCallerAddresses(): readonly Address[] {
    return this.#members.map(({plan}) => plan.addresses.caller);
  }

  /** Starts all daemons, then all stand-ins. */
  async start(): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), FOLDER_PREFIX));
    const plans = await this.#planDaemons();
    const fleet = this.#planFleet(plans.map(({plan}) => plan));
    const {baseline} = this.#scenario.scenario;
    for (const {plan, service} of plans) {
      const daemon = createDaemonChild(plan, fleet, baseline);
      const standIn = this.#createStandIn(plan, service);
      this.#members.push({daemon, plan, standIn});
    }
    await Promise.all(this.#members.map(async ({daemon}) => daemon.start()));
    await Promise.all(
      this.#members.map(async ({standIn}) => {
        const address = await this.#standInHost.start(standIn);
        this.#standInAddresses.set(standIn.instance, address);
      }),
    );
  }

  /** Kills every process and removes the data folders. */
  async stop(): Promise<void> {
    this.#standInHost.stop();
    await Promise.all(this.#members.map(async ({daemon}) => daemon.kill()));
    await rm(this.#folder, {force: true, recursive: true});
  }

  async #planDaemons(): Promise<{plan: DaemonPlan; service: string}[]> {
    const {fleet, services} = this.#scenario;
    const zones = fleet.availabilityZones;
    const daemonKeys = Object.entries(services).flatMap(
      ([service, {instances}]) =>
        Array.from({length: instances}, (_item, index) => ({index, service})),
    );
    return Promise.all(
      daemonKeys.map(async ({index, service}, position) => {
        const name = `${service}-${String(index + 1)}`;
        const plan: DaemonPlan = {
          addresses: await reserveAddresses(),
          availabilityZone: zones[index % zones.length] as string,
          dataFolder: join(this.#folder, name),
          isVoter: position < fleet.voters,
          name,
        };
        return {plan, service};
      }),
    );
  }

  #planFleet(plans: readonly DaemonPlan[]): FleetPlan {
    const voters = plans.filter(({isVoter}) => isVoter);
    return {
      availabilityZones: this.#scenario.fleet.availabilityZones,
      seeds: plans
        .slice(0, MAXIMUM_SEEDS)
        .map(({addresses}) => addresses.fleet),
      voters: voters.map(({name}) => name),
    };
  }

  #createStandIn(plan: DaemonPlan, service: string): StandInSettings {
    const settings = this.#scenario.services[service];
    if (settings === undefined) {
      throw new Error(`The scenario has no section for service ${service}.`);
    }
    return {
      announcePeriodMilliseconds: 1_000,
      answerBytes: settings.answerBytes,
      children: settings.children.map(parseChildCall),
      coldStartFactor: settings.coldStartFactor,
      coldStartMilliseconds: settings.coldStartMilliseconds,
      connections: settings.connections,
      instance: plan.name,
      localDaemon: plan.addresses.local,
      service,
      serviceMilliseconds: settings.serviceMilliseconds,
      slots: settings.slots,
    };
  }
}

function createDaemonChild(
  plan: DaemonPlan,
  fleet: FleetPlan,
  baseline: Baseline,
): DaemonChild {
  return new DaemonChild({
    baseline,
    settingsText: createDaemonSettings(plan, fleet),
  });
}
