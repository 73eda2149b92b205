/** Timeouts of the connections of callers. */

import type {MessagePosition} from 'jackdawcove-relay';
import type {CallerLimits} from 'jackdawcove-routes';
import type {Milliseconds} from 'jackdawcove-shared';

import {LINGER_MILLISECONDS} from './RelayConstants.js';

/** Why a connection is closed: `request` and `unread` while something is unfinished. */
export type ConnectionTimeout = 'idle' | 'request' | 'unread';

/** State of a connection. */
export type ConnectionState = {
  readonly hasOpenRequests: boolean;
  readonly hasUnreadAnswers: boolean;
  /** Time since bytes were received, an answer was written, or the connection ended. */
  readonly inactiveMilliseconds: Milliseconds;
  /** Whether the last answer has been written. */
  readonly isEnding: boolean;
  readonly position: MessagePosition;
  /** Time since bytes went either way. */
  readonly stalledMilliseconds: Milliseconds;
};

/** Limits that the configuration names. */
export type TimeoutLimits = Pick<
  CallerLimits,
  'headerTimeoutMilliseconds' | 'idleTimeoutMilliseconds'
>;

/**
 * Returns the timeout that has passed. A caller may take its time to send a body or to read
 * an answer, but not without a byte for the idle timeout.
 *
 * @example
 * findTimeout(state, limits); // 'request': a body has stalled
 */
export function findTimeout(
  {
    hasOpenRequests,
    hasUnreadAnswers,
    inactiveMilliseconds,
    isEnding,
    position,
    stalledMilliseconds,
  }: ConnectionState,
  {headerTimeoutMilliseconds, idleTimeoutMilliseconds}: TimeoutLimits,
): ConnectionTimeout | undefined {
  if (hasUnreadAnswers || isEnding) {
    const maximum = hasUnreadAnswers
      ? idleTimeoutMilliseconds
      : LINGER_MILLISECONDS;
    const waited = Math.min(stalledMilliseconds, inactiveMilliseconds);
    return waited > maximum ? 'unread' : undefined;
  }
  if (hasOpenRequests) {
    return undefined;
  }
  const maximum =
    position === 'head' ? headerTimeoutMilliseconds : idleTimeoutMilliseconds;
  if (inactiveMilliseconds <= maximum) {
    return undefined;
  }
  return position === 'start' ? 'idle' : 'request';
}
