/** One line that leads from the identifier of a request to its cause. */

import type {BoundedLog} from '../host/BoundedLog.js';
import type {OpenCall} from './OpenCall.js';
import type {CallerSideEffect} from 'jackdawcove-call';

type FinishEffect = Extract<CallerSideEffect, {kind: 'finish'}>;

/**
 * Logs what decided the end of a routed request that was not served.
 *
 * @example
 * logFailure(boundedLog, call, finish, clock());
 */
export function logFailure(
  log: BoundedLog,
  {identifier, lastAttempt, request, startedAt}: OpenCall,
  {attempts, executed, result, retryAfterMilliseconds}: FinishEffect,
  now: number,
): void {
  if (request.requestIdentifier === undefined) {
    return;
  }
  log.write(
    executed === 'no' ? 'requestRefused' : 'requestFailed',
    {
      attempts,
      call: identifier,
      executed,
      lastInstance: lastAttempt?.instance,
      milliseconds: Math.round(now - startedAt),
      request: request.requestIdentifier,
      result,
      retryAfterMilliseconds,
      revision: request.policy?.revision,
      route: request.policy?.route,
      service: request.service,
    },
    'request not served',
  );
}
