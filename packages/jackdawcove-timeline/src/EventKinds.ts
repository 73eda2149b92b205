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
  answerCut: {
    description: 'An answer ended before its length or check value.',
    scope: 'call',
  },
  attemptResolved: {
    description: 'The fate of an attempt was asked after its session was lost.',
    scope: 'call',
  },
  authenticationFailed: {
    description: 'A daemon did not prove the fleet key.',
    scope: 'fleet',
  },
  authorizationFailed: {
    description: 'The administration API refused a token.',
    scope: 'fleet',
  },
  backendServerAnnounced: {
    description: 'A backend server announced itself.',
    scope: 'fleet',
  },
  backendServerCrashed: {
    description: 'A backend server stopped while it ran requests.',
    scope: 'fleet',
  },
  backendServerWithdrawn: {
    description: 'The lease of a backend server ended or was given back.',
    scope: 'fleet',
  },
  callFinished: {
    description: 'A call ended with another result than ok.',
    scope: 'call',
  },
  callRefused: {
    description: 'A call was refused before dispatch.',
    scope: 'call',
  },
  claimRefused: {
    description: 'The claim of an idempotency key was refused.',
    scope: 'call',
  },
  configurationAccepted: {
    description: 'A change of the configuration was committed.',
    scope: 'fleet',
  },
  configurationRefused: {
    description: 'A change of the configuration was refused.',
    scope: 'fleet',
  },
  daemonPaused: {
    description: 'The process found that it was paused.',
    scope: 'fleet',
  },
  daemonStarted: {description: 'The daemon started.', scope: 'fleet'},
  daemonStopped: {description: 'The daemon stopped.', scope: 'fleet'},
  drainFinished: {
    description: 'No request was in flight any more on a planned stop.',
    scope: 'fleet',
  },
  drainStarted: {
    description: 'An instance or a daemon began to drain.',
    scope: 'fleet',
  },
  instanceEjected: {
    description: 'A failing instance was ejected.',
    scope: 'fleet',
  },
  instanceReturned: {
    description: 'An ejected instance gets calls again.',
    scope: 'fleet',
  },
  leaderElected: {
    description: 'A voter became the leader.',
    scope: 'fleet',
  },
  leaderLost: {
    description: 'A leader stepped down or lost its majority.',
    scope: 'fleet',
  },
  ledgerEpochChanged: {
    description: 'The ledger group of a slice was replaced.',
    scope: 'fleet',
  },
  memberJoined: {
    description: 'A daemon joined the membership view.',
    scope: 'fleet',
  },
  memberLeft: {
    description: 'A daemon left on a planned stop.',
    scope: 'fleet',
  },
  memberReachable: {
    description: 'An unreachable daemon answers again.',
    scope: 'fleet',
  },
  memberSuspected: {
    description: 'A daemon did not answer a probe.',
    scope: 'fleet',
  },
  memberUnreachable: {
    description: 'A suspected daemon did not refute in time.',
    scope: 'fleet',
  },
  overloadEnded: {
    description: 'The shed level of an instance returned to none.',
    scope: 'fleet',
  },
  overloadStarted: {
    description: 'An instance began to shed.',
    scope: 'fleet',
  },
  quarantined: {
    description: 'A fingerprint crashed two backend servers.',
    scope: 'fleet',
  },
  quarantineReleased: {
    description: 'A fingerprint was released by an operator or expired.',
    scope: 'fleet',
  },
  revisionApplied: {
    description: 'A revision of the configuration came in force here.',
    scope: 'fleet',
  },
  sessionClosed: {
    description: 'A session to another daemon closed.',
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
    description: 'The data folder could not be written or synced.',
    scope: 'fleet',
  },
  suspectRecorded: {
    description: 'A request was in flight when its backend server crashed.',
    scope: 'call',
  },
  voterAdded: {description: 'A voter was added.', scope: 'fleet'},
  voterRemoved: {description: 'A voter was removed.', scope: 'fleet'},
} as const satisfies Readonly<Record<string, EventKindRow>>;

/** Kind of an event. */
export type EventKind = keyof typeof EVENT_KINDS;

/**
 * Returns the scope of a kind; a kind that is not in the table, from another
 * version of the daemon, is of the fleet.
 *
 * @example
 * getEventScope('callRefused'); // 'call'
 */
export function getEventScope(kind: string): EventScope {
  return Object.hasOwn(EVENT_KINDS, kind)
    ? EVENT_KINDS[kind as EventKind].scope
    : 'fleet';
}
