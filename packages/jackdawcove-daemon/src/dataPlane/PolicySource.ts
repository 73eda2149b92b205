/** Policies of the configuration that this daemon has applied. */

import type {AppliedConfiguration} from '../control/ConfigurationService.js';
import type {CallPolicy, CallRequest} from 'jackdawcove-call';
import type {PolicyTable} from 'jackdawcove-configuration';

import {
  compilePolicies,
  DEFAULT_CONFIGURATION_TEXT,
  formatConfigurationFault,
  parseFleetConfiguration,
  readAcceptedConfiguration,
} from 'jackdawcove-configuration';
import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';

type Failure = ReturnType<typeof createFailure>;

/**
 * Checks that a text is a valid fleet configuration. If not, the failure is
 * `invalidConfiguration` and its detail lists all faults.
 *
 * @example
 * checkDocument('[defaults]\nimportance = normal\n').isOk; // true
 */
export function checkDocument(text: string): Result<undefined, Failure> {
  const parsed = parseFleetConfiguration(text);
  if (parsed.isOk) {
    return Result.ok(undefined);
  }
  const detail = parsed.error.map(formatConfigurationFault).join('; ');
  return Result.err(createFailure('invalidConfiguration', detail));
}

type CompiledConfiguration = {
  readonly faults: readonly string[];
  readonly table: PolicyTable;
};

/**
 * Compiles a text that another version may have accepted: the parts that this
 * version does not understand are reported as faults and left out.
 */
function compileAccepted(text: string): CompiledConfiguration {
  const {configuration, faults} = readAcceptedConfiguration(text);
  return {
    faults: faults.map(formatConfigurationFault),
    table: compilePolicies(configuration),
  };
}

/** Looks up policies in the configuration that was applied last. */
export class PolicySource {
  #revision = 0;
  #table = compileAccepted(DEFAULT_CONFIGURATION_TEXT).table;

  /**
   * Replaces the policies by those of an applied configuration. Returns one
   * line for each part that this version does not understand; the other parts
   * take effect.
   */
  apply({documentText, revision}: AppliedConfiguration): readonly string[] {
    if (revision === 0) {
      return [];
    }
    const {faults, table} = compileAccepted(documentText);
    this.#table = table;
    this.#revision = revision;
    return faults;
  }

  /** Returns the policy of a request. */
  resolve(
    request: Pick<CallRequest, 'method' | 'path' | 'policy' | 'service'>,
  ): CallPolicy {
    if (request.policy !== undefined) {
      return request.policy;
    }
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

  /** Returns the largest accepted body of a request, in bytes. */
  getBodyLimit(
    method: string,
    {path, service}: Pick<CallRequest, 'path' | 'service'>,
  ): number {
    return this.#table.getPolicy({method, path, service}).bodyLimitBytes;
  }
}
