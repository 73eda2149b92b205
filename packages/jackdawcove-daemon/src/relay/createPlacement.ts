/** Creates the selection of instances that the settings ask for. */

import type {DaemonSettings} from 'jackdawcove-settings';
import type {RandomNumber} from 'jackdawcove-shared';

import {
  getCostByCount,
  getCostByWork,
  InstancePlacement,
} from 'jackdawcove-relay';

/**
 * Creates the selection of instances of one daemon.
 *
 * @example
 * const placement = createPlacement(host.settings, host.randomNumber);
 */
export function createPlacement(
  {daemon, relay}: Pick<DaemonSettings, 'daemon' | 'relay'>,
  randomNumber: RandomNumber,
): InstancePlacement {
  return new InstancePlacement(
    daemon.availabilityZone,
    randomNumber,
    relay.loadModel === 'cost' ? getCostByWork : getCostByCount,
  );
}
