/** Kinds of events on the time line. */

/**
 * What an event is about. Events about calls come in large numbers under
 * overload and are kept apart, so that they never push out the others.
 */
export type EventScope = 'call' | 'fleet';

type EventKindRow = {
  readonly description: string;
  readonly scope: EventScope;
};

/** Every kind that a daemon records. */
export const EVENT_KINDS = {
  authenticationFailed: {
    description:
      'A session closed: the other daemon did not prove the fleet key.',
    scope: 'fleet',
  },
  authorizationFailed: {
    description: 'The administration API refused a token.',
    scope: 'fleet',
  },
  backendServerAnnounced: {
    description: 'The local backend server announced itself or other figures.',
    scope: 'fleet',
  },
  backendServerCrashed: {
    description:
      'The process of the local backend server is gone while requests ran.',
    scope: 'fleet',
  },
  backendServerWithdrawn: {
    description:
      'The lease of the local backend server ended or was given back.',
    scope: 'fleet',
  },
  becameLeader: {
    description: 'This voter became the leader.',
    scope: 'fleet',
  },
  callFinished: {
    description: 'A call ended with another result than ok.',
    scope: 'call',
  },
  copyDamaged: {
    description:
      'The own copy of the applied records is damaged and was left out.',
    scope: 'fleet',
  },
  copyFailed: {
    description: 'The applied records could not be kept in the data folder.',
    scope: 'fleet',
  },
  daemonStarted: {
    description: 'The daemon takes calls.',
    scope: 'fleet',
  },
  drainFinished: {
    description: 'No call is open any more on a planned stop.',
    scope: 'fleet',
  },
  drainStarted: {
    description: 'The daemon began to drain.',
    scope: 'fleet',
  },
  ledgerProposed: {
    description: 'This leader proposed other ledger groups.',
    scope: 'fleet',
  },
  ledgerServed: {
    description: 'This daemon serves its part of a ledger generation whole.',
    scope: 'fleet',
  },
  lostLeadership: {
    description: 'This voter is no longer the leader.',
    scope: 'fleet',
  },
  memberChanged: {
    description: 'The record of a daemon or its backend server changed.',
    scope: 'fleet',
  },
  overloadEnded: {
    description: 'The local instance sheds no more.',
    scope: 'fleet',
  },
  overloadStarted: {
    description: 'The local instance began to shed.',
    scope: 'fleet',
  },
  quarantined: {
    description:
      'A fingerprint crashed two backend servers and is refused from now on.',
    scope: 'fleet',
  },
  quarantineReleased: {
    description: 'An operator released a fingerprint.',
    scope: 'fleet',
  },
  recordApplied: {
    description:
      'A committed record came in force here: configuration, voters, leader, ledger.',
    scope: 'fleet',
  },
  recordDiverged: {
    description: 'Two records of one version differ.',
    scope: 'fleet',
  },
  sessionClosed: {
    description: 'A session to another daemon closed or could not be opened.',
    scope: 'fleet',
  },
  sessionOpened: {
    description: 'A session to another daemon opened.',
    scope: 'fleet',
  },
  sessionSilent: {
    description: 'A session went silent and was given up.',
    scope: 'fleet',
  },
  storageFailed: {
    description:
      'The voter stopped: its data folder could not be written or synced.',
    scope: 'fleet',
  },
  storageRefused: {
    description: 'The voter did not start: its data folder cannot be used.',
    scope: 'fleet',
  },
} as const satisfies Readonly<Record<string, EventKindRow>>;

/** Kind of an event. */
export type EventKind = keyof typeof EVENT_KINDS;

/**
 * Returns the scope of a kind; a kind that is not in the table, from another
 * version of the daemon, is of the fleet.
 *
 * @example
 * getEventScope('callFinished'); // 'call'
 */
export function getEventScope(kind: string): EventScope {
  return Object.hasOwn(EVENT_KINDS, kind)
    ? EVENT_KINDS[kind as EventKind].scope
    : 'fleet';
}
