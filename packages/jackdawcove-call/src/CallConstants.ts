/** Constants of the two sides of a call. */

import type {ResultName} from 'jackdawcove-shared';

/** Interval at which each side has to receive a tick. */
export const TICK_INTERVAL_MILLISECONDS = 10;

/** Minimum Retry-After of a refusal. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

/** Time after which a resolve query is repeated or its attempt is abandoned. */
export const RESOLVE_TIMEOUT_MILLISECONDS = 250;

/** Refusals after which another instance may be tried. */
export const REDIRECTABLE_RESULTS: ReadonlySet<ResultName> =
  new Set<ResultName>([
    'connectionLimitReached',
    'daemonDraining',
    'daemonOverloaded',
    'daemonStarting',
    'fenced',
    'instanceDraining',
    'instanceRefused',
    'noInstance',
    'shedByAdmission',
    'suspectWaiting',
    'tooManyBufferedBytes',
    'tooManyOpenCalls',
  ]);

/** Refusals by an instance that currently accepts no requests at all. */
export const UNAVAILABLE_RESULTS: ReadonlySet<ResultName> = new Set<ResultName>(
  ['daemonDraining', 'daemonStarting', 'instanceDraining', 'noInstance'],
);

/** Unknown outcomes after which a retry is useless: no caller waits for it. */
export const NON_RETRYABLE_RESULTS: ReadonlySet<ResultName> =
  new Set<ResultName>([
    'cancelledWhileRunning',
    'deadlineExceededWhileRunning',
  ]);

/** Minimum time for which the record of an ended attempt is kept. */
export const ENDED_ATTEMPT_RETENTION_MILLISECONDS = 60_000;

/** Time for which a fenced attempt is refused if it arrives. */
export const FENCE_RETENTION_MILLISECONDS = 900_000;

/** Maximum number of ended attempts in one generation. */
export const MAXIMUM_ATTEMPTS_PER_GENERATION = 50_000;

/** Assumed upper bound of the transit time of a resolve query. */
export const MAXIMUM_QUERY_TRANSIT_MILLISECONDS = 10_000;
