/** Kinds of timeline events. */

/**
 * Subject of an event. Overload produces many events about calls, so these are
 * stored separately and never evict events about the fleet.
 */
export type EventScope = 'call' | 'fleet';

type EventKindRow = {
  readonly description: string;
  readonly scope: EventScope;
};

/** All event kinds that a daemon records. */
export const EVENT_KINDS = {
  authenticationFailed: {
    description:
      'A session closed because the peer failed to prove that it has the fleet key.',
    scope: 'fleet',
  },
  authorizationFailed: {
    description: 'The administration API refused a token.',
    scope: 'fleet',
  },
  backendServerAnnounced: {
    description:
      'The local backend server announced itself or changed its announcement.',
    scope: 'fleet',
  },
  backendServerCrashed: {
    description:
      'The process of the local backend server ended while requests were running.',
    scope: 'fleet',
  },
  backendServerWithdrawn: {
    description:
      'The lease of the local backend server expired or was released.',
    scope: 'fleet',
  },
  becameLeader: {
    description: 'This voter became the leader.',
    scope: 'fleet',
  },
  callFinished: {
    description: 'A call ended with a result other than ok.',
    scope: 'call',
  },
  copyDamaged: {
    description:
      'The local copy of the applied records is damaged and was ignored.',
    scope: 'fleet',
  },
  copyFailed: {
    description: 'The applied records could not be stored in the data folder.',
    scope: 'fleet',
  },
  daemonStarted: {
    description: 'The daemon accepts calls.',
    scope: 'fleet',
  },
  drainFinished: {
    description: 'All open calls ended during a graceful shutdown.',
    scope: 'fleet',
  },
  drainStarted: {
    description: 'The daemon started to drain.',
    scope: 'fleet',
  },
  ledgerProposed: {
    description: 'This leader proposed a change of the ledger groups.',
    scope: 'fleet',
  },
  ledgerServed: {
    description:
      'This daemon has read all records that a ledger generation requires.',
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
    description: 'The local instance stopped shedding requests.',
    scope: 'fleet',
  },
  overloadStarted: {
    description: 'The local instance started shedding requests.',
    scope: 'fleet',
  },
  quarantined: {
    description:
      'A fingerprint reached the limit of backend server crashes and is refused.',
    scope: 'fleet',
  },
  quarantineReleased: {
    description: 'An operator released a fingerprint from quarantine.',
    scope: 'fleet',
  },
  recordApplied: {
    description:
      'The daemon applied a committed record: configuration, voters, leader or ledger.',
    scope: 'fleet',
  },
  recordDiverged: {
    description: 'Two records with the same version differ.',
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
    description: 'A session was closed because the peer stopped responding.',
    scope: 'fleet',
  },
  storageFailed: {
    description:
      'The voter stopped because its data folder could not be written or synced.',
    scope: 'fleet',
  },
  storageRecovered: {
    description: 'The voter runs again after a failure of its storage.',
    scope: 'fleet',
  },
  storageRefused: {
    description:
      'The voter did not start because its data folder cannot be used.',
    scope: 'fleet',
  },
  votersPlanned: {
    description:
      'The leader changes the voters: growth, a lost voter or zone balance.',
    scope: 'fleet',
  },
} as const satisfies Readonly<Record<string, EventKindRow>>;

/** Kind of an event. */
export type EventKind = keyof typeof EVENT_KINDS;

/**
 * Returns the scope of a kind. A kind that is not in the table comes from a
 * daemon of another version and has the scope `fleet`.
 *
 * @example
 * getEventScope('callFinished'); // 'call'
 */
export function getEventScope(kind: string): EventScope {
  return Object.hasOwn(EVENT_KINDS, kind)
    ? EVENT_KINDS[kind as EventKind].scope
    : 'fleet';
}
