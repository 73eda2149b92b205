/** Interface through which the rest of the daemon uses the call path. */

import type {Teardown} from 'jackdawcove-shared';

/** Load of the local backend server. */
export type BackendLoad = {
  readonly inFlight: number;
  readonly limit: number;
  readonly queued: number;
  readonly queueingDelayMilliseconds: number;
};

/**
 * A running call path: the data plane of the daemon's HTTP interface, or the
 * relay.
 */
export type CallPath = {
  /** Refuses new work for the local backend server. */
  readonly drain: () => void;
  readonly getBackendLoad: () => BackendLoad;
  readonly getOpenCalls: () => number;
  /** Whether all calls have ended and their answers are written to the callers. */
  readonly isFinished: () => boolean;
  readonly teardown: Teardown;
};
