/** Quarantine of the daemon for the administration API. */

import type {DaemonHost} from '../DaemonHost.js';
import type {QuarantineRegistration} from '../quarantine/registerQuarantine.js';
import type {AdministeredQuarantine} from './AdministrationServices.js';

import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';

/** Part of the quarantine registration that the administration API uses. */
type Quarantine = Pick<QuarantineRegistration, 'crashQuarantine' | 'spread'>;

/**
 * Creates the quarantine service; a release is spread to the fleet.
 *
 * @example
 * createAdministeredQuarantine(host, quarantine).getEntries();
 */
export function createAdministeredQuarantine(
  host: Pick<DaemonHost, 'clock' | 'log' | 'recordEvent'>,
  quarantine: Quarantine,
): AdministeredQuarantine {
  const {clock, log, recordEvent} = host;
  const {crashQuarantine, spread} = quarantine;
  return {
    getEntries: () => crashQuarantine.list(clock()),
    release: ({author, fingerprint, reason}) => {
      const now = clock();
      if (crashQuarantine.getSuspicion(fingerprint, now) === 'clear') {
        return Result.err(createFailure('notFound', fingerprint));
      }
      for (const {records} of crashQuarantine.release(fingerprint, now)) {
        spread(records);
      }
      recordEvent('quarantineReleased', {author, fingerprint, reason});
      log.info({author, fingerprint, reason}, 'quarantine released');
      return Result.ok(undefined);
    },
  };
}
