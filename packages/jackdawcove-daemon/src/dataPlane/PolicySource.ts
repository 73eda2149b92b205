/** Policies of the configuration that this daemon has applied. */

import type {AppliedConfiguration} from '../control/ConfigurationService.js';
import type {CallPolicy, CallRequest} from 'jackdawcove-call';
import type {PolicyTable, RequestPolicy} from 'jackdawcove-configuration';

import {
  compilePolicies,
  DEFAULT_CONFIGURATION_TEXT,
  parseFleetConfiguration,
} from 'jackdawcove-configuration';
import {createFailure, invariant} from 'jackdawcove-shared';
import {Result} from 'true-myth';

type Failure = ReturnType<typeof createFailure>;

function compileText(text: string): PolicyTable {
  const parsed = parseFleetConfiguration(text);
  invariant(parsed.isOk, 3, 'An accepted configuration does not parse.');
  return compilePolicies(parsed.value);
}

/**
 * Refuses a text that is no valid fleet configuration.
 *
 * @example
 * checkDocument('[defaults]\nimportance = normal\n').isOk; // true
 */
export function checkDocument(text: string): Result<undefined, Failure> {
  const parsed = parseFleetConfiguration(text);
  if (parsed.isOk) {
    return Result.ok(undefined);
  }
  const [first] = parsed.error;
  const detail =
    first === undefined
      ? ''
      : `line ${String(first.line)}: ${first.section} ${first.key} ${first.reason}`;
  return Result.err(createFailure('invalidConfiguration', detail));
}

/** Swaps in each applied configuration and answers look-ups from it. */
export class PolicySource {
  #revision = 0;
  #table = compileText(DEFAULT_CONFIGURATION_TEXT);

  /** Puts an applied configuration in force. */
  apply({documentText, revision}: AppliedConfiguration): void {
    if (revision === 0) {
      return;
    }
    this.#table = compileText(documentText);
    this.#revision = revision;
  }

  /** Returns the policy of a request. */
  resolve(
    request: Pick<CallRequest, 'method' | 'path' | 'service'>,
  ): CallPolicy {
    const {method, path, service} = request;
    const policy = this.#table.getPolicy({method, path, service});
    return {
      importance: policy.importance,
      isIdempotent: policy.isIdempotent,
      maximumDepth: policy.maximumDepth,
      retryAllowance: policy.retryTokens,
      revision: this.#revision,
      route: `${service} ${method} ${policy.exceptionName ?? ''}`,
      timeoutMilliseconds: policy.deadlineMilliseconds,
    };
  }

  /** Returns the largest body of a request, in bytes. */
  getBodyLimit(
    method: string,
    {path, service}: Pick<CallRequest, 'path' | 'service'>,
  ): number {
    return this.#table.getPolicy({method, path, service}).bodyLimitBytes;
  }

  /** Returns the policy of a service as a whole. */
  getServicePolicy(service: string): RequestPolicy {
    return this.#table.getServicePolicy(service);
  }
}
