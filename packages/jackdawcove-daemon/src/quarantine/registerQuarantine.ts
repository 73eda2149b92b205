/** Connects the crash quarantine to the messenger. */

import type {DaemonHost} from '../DaemonHost.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {QuarantineEffect, SuspectRecord} from 'jackdawcove-quarantine';
import type {DaemonName, Teardown} from 'jackdawcove-shared';

import {isDaemonReachable} from 'jackdawcove-membership';
import {CrashQuarantine, quarantineMessageSchema} from 'jackdawcove-quarantine';
import {mergeTeardowns, pickRandom, shuffle} from 'jackdawcove-shared';

/** Sends records to daemons with instances of the services and to some others. */
export type SpreadSuspects = (records: readonly SuspectRecord[]) => void;

/** The quarantine of the running daemon. */
export type QuarantineRegistration = {
  readonly crashQuarantine: CrashQuarantine;
  readonly spread: SpreadSuspects;
  readonly teardown: Teardown;
};

const RANDOM_RECEIVER_COUNT = 4;
const SNAPSHOT_INTERVAL_MILLISECONDS = 1_000;

function selectReceivers(
  {randomNumber, settings}: DaemonHost,
  membership: MembershipService,
  records: readonly SuspectRecord[],
): readonly DaemonName[] {
  const view = membership.getView();
  const services = new Set(records.map(({service}) => service));
  const receivers = new Set(
    [...services]
      .flatMap((service) => view.getInstances(service))
      .map(({daemon}) => daemon.name),
  );
  const reachableDaemons = view.getDaemons().filter(isDaemonReachable);
  for (const {name} of shuffle(reachableDaemons, randomNumber).slice(
    0,
    RANDOM_RECEIVER_COUNT,
  )) {
    receivers.add(name);
  }
  receivers.delete(settings.daemon.name);
  return [...receivers];
}

/** Records an event when a fingerprint becomes quarantined on this daemon. */
function reportQuarantined(
  {clock, recordEvent}: DaemonHost,
  crashQuarantine: CrashQuarantine,
  records: readonly SuspectRecord[],
  quarantinedFingerprints: Set<string>,
): void {
  for (const {fingerprint, service} of records) {
    if (crashQuarantine.getSuspicion(fingerprint, clock()) !== 'quarantined') {
      quarantinedFingerprints.delete(fingerprint);
    } else if (!quarantinedFingerprints.has(fingerprint)) {
      quarantinedFingerprints.add(fingerprint);
      recordEvent('quarantined', {fingerprint, service});
    }
  }
}

function createSpreadSuspects(
  host: DaemonHost,
  membership: MembershipService,
  crashQuarantine: CrashQuarantine,
): SpreadSuspects {
  const quarantinedFingerprints = new Set<string>();
  return (records) => {
    reportQuarantined(host, crashQuarantine, records, quarantinedFingerprints);
    for (const receiver of selectReceivers(host, membership, records)) {
      host.messenger.send(receiver, 'quarantine', {records});
    }
  };
}

function registerSnapshots(
  host: DaemonHost,
  membership: MembershipService,
  crashQuarantine: CrashQuarantine,
): Teardown {
  return host.registerTicker(SNAPSHOT_INTERVAL_MILLISECONDS, () => {
    crashQuarantine.tick(host.clock());
    const others = membership
      .getView()
      .getDaemons()
      .filter(
        (daemon) =>
          isDaemonReachable(daemon) &&
          daemon.name !== host.settings.daemon.name,
      );
    const receiver = pickRandom(others, host.randomNumber);
    if (receiver === undefined) {
      return;
    }
    for (const records of crashQuarantine.createSnapshot(host.clock())) {
      host.messenger.send(receiver.name, 'quarantine', {records});
    }
  });
}

/**
 * Starts the quarantine: sends new records to other daemons, merges records that
 * it receives, and sends a snapshot to one random daemon every second.
 *
 * @example
 * const {crashQuarantine, spread, teardown} = registerQuarantine(host, membership);
 */
export function registerQuarantine(
  host: DaemonHost,
  membership: MembershipService,
): QuarantineRegistration {
  const crashQuarantine = new CrashQuarantine(host.settings.quarantine.crashes);
  const spread = createSpreadSuspects(host, membership, crashQuarantine);
  const applyEffects = (effects: readonly QuarantineEffect[]): void => {
    for (const {records} of effects) {
      spread(records);
    }
  };
  const removeListener = host.messenger.registerListener(
    'quarantine',
    (message) => {
      const parsed = quarantineMessageSchema.safeParse(message);
      if (!parsed.success) {
        host.metrics.increment('messages.malformed');
        return;
      }
      applyEffects(crashQuarantine.merge(parsed.data.records, host.clock()));
    },
  );
  const teardown = mergeTeardowns(
    removeListener,
    registerSnapshots(host, membership, crashQuarantine),
  );
  return {crashQuarantine, spread, teardown};
}
