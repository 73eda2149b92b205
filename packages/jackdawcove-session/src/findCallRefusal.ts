/** Limits on the calls of one session. */

import type {SessionLimits} from './SessionTypes.js';
import type {Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

/**
 * Returns why a session accepts no further call now, or undefined.
 *
 * @example
 * findCallRefusal(limits, bufferedBytes, openCalls)?.result;
 */
export function findCallRefusal(
  limits: SessionLimits,
  bufferedBytes: number,
  openCalls: number,
): Failure | undefined {
  if (bufferedBytes > limits.maximumSessionBufferedBytes) {
    return createFailure('tooManyBufferedBytes');
  }
  return openCalls >= limits.maximumCallsPerSession
    ? createFailure('tooManyOpenCalls')
    : undefined;
}
