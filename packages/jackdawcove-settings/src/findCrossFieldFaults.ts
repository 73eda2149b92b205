/** Validation of settings against each other. */

import type {DaemonSettings} from './DaemonSettings.js';
import type {SettingsFault} from './SettingsFaults.js';

type LocalFault = Omit<SettingsFault, 'file'>;

/**
 * Finds settings that contradict each other.
 *
 * @example
 * findCrossFieldFaults(settings); // [] if they are consistent
 */
export function findCrossFieldFaults(settings: DaemonSettings): LocalFault[] {
  const {control, daemon, fleet} = settings;
  const faults: LocalFault[] = [];
  if (!fleet.availabilityZones.includes(daemon.availabilityZone)) {
    faults.push({
      allowed: `one of [fleet] availability_zones: ${fleet.availabilityZones.join(', ')}`,
      key: 'availability_zone',
      reason: `"${daemon.availabilityZone}" is not a zone of the fleet`,
      result: 'settingsInvalid',
      section: 'daemon',
    });
  }
  if (control.voter && daemon.dataFolder === undefined) {
    faults.push({
      allowed: 'the path of a folder on a disk',
      key: 'data_folder',
      reason: 'is missing on a voter',
      result: 'settingsInvalid',
      section: 'daemon',
    });
  }
  return faults;
}
