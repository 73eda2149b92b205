/** Faults of a settings file, one line each. */

import type {Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

/** One fault of a settings file. */
export type SettingsFault = {
  /** Description of the allowed values; empty if no value is allowed. */
  readonly allowed: string;
  readonly file: string;
  /** Key as written in the file; empty for a fault of a section or file. */
  readonly key: string;
  readonly reason: string;
  readonly result: 'settingsInvalid' | 'settingsUnreadable';
  /** Section as written in the file; empty for a fault of the file. */
  readonly section: string;
};

/**
 * Formats a fault as a line with file, section, key, reason and allowed values.
 *
 * @example
 * formatSettingsFault(fault);
 * // 'jackdawd.ini: [listen] local: "0.0.0.0:1" is not allowed; allowed: …'
 */
export function formatSettingsFault(fault: SettingsFault): string {
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}:`;
  const allowed = fault.allowed === '' ? '' : `; allowed: ${fault.allowed}`;
  return `${fault.file}:${section}${key} ${fault.reason}${allowed}`;
}

/**
 * Joins faults into the failure of a process that cannot start because of them.
 *
 * @example
 * createSettingsFailure(faults).result; // 'settingsInvalid'
 */
export function createSettingsFailure(
  faults: readonly SettingsFault[],
): Failure {
  const isUnreadable = faults.every(
    ({result}) => result === 'settingsUnreadable',
  );
  return createFailure(
    isUnreadable ? 'settingsUnreadable' : 'settingsInvalid',
    faults.map(formatSettingsFault).join('; '),
  );
}
