/** Applies the faults of a scenario at their scheduled times. */

import type {Fleet, FleetMember} from './Fleet.js';
import type {ScenarioFault} from './ScenarioSettings.js';

import {setTimeout as delay} from 'node:timers/promises';

import {match} from 'ts-pattern';

import {applyConfiguration} from './applyConfiguration.js';

/** A fault that was applied, with the time at which it was applied. */
export type AppliedFault = {
  readonly atMilliseconds: number;
  readonly kind: ScenarioFault['kind'];
  readonly target: string;
};

function selectMembers(fleet: Fleet, target: string): readonly FleetMember[] {
  return fleet
    .getMembers()
    .filter(
      ({plan, standIn}) =>
        plan.name === target ||
        plan.availabilityZone === target ||
        standIn.service === target,
    );
}

async function restartOneByOne(members: readonly FleetMember[]): Promise<void> {
  for (const {daemon} of members) {
    await daemon.stop();
    await daemon.start();
  }
}

async function applyFault(
  fleet: Fleet,
  {kind, target, value}: ScenarioFault,
): Promise<void> {
  const members = selectMembers(fleet, target);
  const standInHost = fleet.getStandInHost();
  const milliseconds = Number(value);
  const instances = members.map(({standIn}) => standIn.instance);
  await match(kind)
    .with('changeConfiguration', async () => applyConfiguration(fleet, value))
    .with('crashMarker', async () =>
      Promise.all(
        instances.map(async (instance) =>
          standInHost.sendCommand(instance, {
            kind: 'setCrashMarker',
            marker: value,
          }),
        ),
      ),
    )
    .with('drainInstance', async () =>
      Promise.all(
        instances.map(async (instance) =>
          standInHost.sendCommand(instance, {kind: 'drain'}),
        ),
      ),
    )
    .with('killDaemon', async () =>
      Promise.all(members.map(async ({daemon}) => daemon.kill())),
    )
    .with('pauseDaemon', () => {
      members.forEach(({daemon}) => {
        daemon.pause();
      });
    })
    .with('resumeDaemon', () => {
      members.forEach(({daemon}) => {
        daemon.resume();
      });
    })
    .with('rollingRestart', async () =>
      restartOneByOne(target === '' ? fleet.getMembers() : members),
    )
    .with('serviceTime', async () =>
      Promise.all(
        instances.map(async (instance) =>
          standInHost.sendCommand(instance, {
            kind: 'setServiceTime',
            milliseconds,
          }),
        ),
      ),
    )
    .exhaustive();
}

/**
 * Applies every fault at its scheduled time and returns the applied faults.
 *
 * @example
 * await runFaults(fleet, scenario.faults);
 */
export async function runFaults(
  fleet: Fleet,
  faults: readonly ScenarioFault[],
): Promise<readonly AppliedFault[]> {
  const startedAt = performance.now();
  return Promise.all(
    faults.map(async (fault) => {
      await delay(fault.atMilliseconds);
      const atMilliseconds = performance.now() - startedAt;
      await applyFault(fleet, fault);
      return {atMilliseconds, kind: fault.kind, target: fault.target};
    }),
  );
}
