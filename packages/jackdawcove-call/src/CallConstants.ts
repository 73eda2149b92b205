/** Constants of the two sides of a call. */

import type {ResultName} from 'jackdawcove-shared';

/** Interval at which the wiring feeds a tick to each side. */
export const TICK_INTERVAL_MILLISECONDS = 10;

/** Least Retry-After of a refusal. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 100;

/** Time after which a resolve query is repeated, or the attempt given up. */
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

/** Refusals that say that the instance takes no work at all for now. */
export const UNAVAILABLE_RESULTS: ReadonlySet<ResultName> = new Set<ResultName>(
  ['daemonDraining', 'daemonStarting', 'instanceDraining', 'noInstance'],
);

/** Unknown outcomes after which no retry can still be of use. */
export const NON_RETRYABLE_RESULTS: ReadonlySet<ResultName> =
  new Set<ResultName>([
    'cancelledWhileRunning',
    'deadlineExceededWhileRunning',
  ]);

/** Time for which an ended attempt is known, at least. */
export const ENDED_ATTEMPT_RETENTION_MILLISECONDS = 60_000;

/** Time for which a fenced attempt is refused. */
export const FENCE_RETENTION_MILLISECONDS = 900_000;

/** Ended attempts in one generation of the memory. */
export const MAXIMUM_ATTEMPTS_PER_GENERATION = 50_000;

/** Longest time for which a resolve query is believed to be under way. */
export const MAXIMUM_QUERY_TRANSIT_MILLISECONDS = 10_000;
