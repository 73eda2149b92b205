/** Request policies, compiled for fast lookup on the hot path. */

import type {
  ConfigurationException,
  FleetConfiguration,
} from './FleetConfiguration.js';
import type {PolicyValues} from './PolicyValues.js';

import {NON_IDEMPOTENT_METHODS} from './ConfigurationConstants.js';
import {mergePolicyValues, sortByContainment} from './FleetConfiguration.js';
import {parsePathPattern} from './RequestMatcher.js';

/** Properties of a request by which its policy is looked up. */
export type PolicyQuery = {
  readonly method: string;
  /** Path without the service. A query string is ignored. */
  readonly path: string;
  readonly service: string;
};

/** Effective policy of a request. */
export type RequestPolicy = Omit<PolicyValues, 'idempotent'> & {
  /** Name of the most specific exception that matched, if any. */
  readonly exceptionName?: string;
  readonly isIdempotent: boolean;
};

/** Policies of one service and method, by path. */
type PathTable = {
  readonly byExactPath: ReadonlyMap<string, RequestPolicy>;
  readonly byPrefix: ReadonlyMap<string, RequestPolicy>;
  /** Lengths of the prefixes in descending order; the last one is 0. */
  readonly prefixLengths: readonly number[];
};

type MethodTable = {
  readonly byMethod: ReadonlyMap<string, PathTable>;
  readonly otherMethods: PathTable;
};

/** Service or method that no exception names. */
const UNNAMED = undefined;

/** Path pattern of an exception without a path. */
const ANY_PATH = '*';

const QUERY_SEPARATOR = '?';

function createPolicy(
  defaults: PolicyValues,
  exceptions: readonly ConfigurationException[],
  method: string | undefined,
): RequestPolicy {
  const {idempotent, ...values} = mergePolicyValues(defaults, exceptions);
  const isIdempotentByMethod =
    method === undefined || !NON_IDEMPOTENT_METHODS.includes(method);
  const isIdempotent =
    idempotent === 'by_method' ? isIdempotentByMethod : idempotent === 'yes';
  const exceptionName = exceptions.at(-1)?.name;
  return Object.freeze({
    ...values,
    ...(exceptionName === undefined ? {} : {exceptionName}),
    isIdempotent,
  });
}

function matchesName(
  expected: string | undefined,
  actual: string | undefined,
): boolean {
  return expected === undefined || expected === actual;
}

/** Exceptions by their path pattern. */
type ExceptionsByPath = Map<string, ConfigurationException[]>;

function groupByPath(
  exceptions: readonly ConfigurationException[],
): ExceptionsByPath {
  const groups: ExceptionsByPath = new Map();
  for (const exception of exceptions) {
    const key = exception.matcher.path ?? ANY_PATH;
    const group = groups.get(key) ?? [];
    group.push(exception);
    groups.set(key, group);
  }
  return groups;
}

function listPrefixLengths(patterns: Iterable<string>): number[] {
  const lengths = new Set<number>();
  for (const pattern of patterns) {
    const {isPrefix, text} = parsePathPattern(pattern);
    if (isPrefix) {
      lengths.add(text.length);
    }
  }
  return [...lengths].sort((left, right) => right - left);
}

/** Returns the exceptions whose path pattern contains the given pattern. */
function findContainingExceptions(
  groups: ExceptionsByPath,
  prefixLengths: readonly number[],
  pattern: string,
): ConfigurationException[] {
  const {isPrefix, text} = parsePathPattern(pattern);
  const prefixes = prefixLengths
    .filter((length) => length <= text.length)
    .map((length) => `${text.slice(0, length)}${ANY_PATH}`);
  const patterns = isPrefix ? prefixes : [...prefixes, pattern];
  return sortByContainment(patterns.flatMap((path) => groups.get(path) ?? []));
}

/**
 * Compiles the policies of one service and method, one for each path pattern. A
 * lookup needs only the longest pattern that matches the path, because every
 * other matching pattern is a prefix of it.
 */
function compilePaths(
  {defaults, exceptions}: FleetConfiguration,
  service: string | undefined,
  method: string | undefined,
): PathTable {
  const groups = groupByPath(
    exceptions.filter(
      ({matcher}) =>
        matchesName(matcher.service, service) &&
        matchesName(matcher.method, method),
    ),
  );
  const byExactPath = new Map<string, RequestPolicy>();
  const byPrefix = new Map<string, RequestPolicy>();
  const patterns = new Set([ANY_PATH, ...groups.keys()]);
  const prefixLengths = listPrefixLengths(patterns);
  for (const pattern of patterns) {
    const containing = findContainingExceptions(groups, prefixLengths, pattern);
    const policy = createPolicy(defaults, containing, method);
    const {isPrefix, text} = parsePathPattern(pattern);
    (isPrefix ? byPrefix : byExactPath).set(text, policy);
  }
  return {byExactPath, byPrefix, prefixLengths};
}

function compileMethods(
  configuration: FleetConfiguration,
  service: string | undefined,
): MethodTable {
  const namedMethods = configuration.exceptions.flatMap(({matcher}) =>
    matcher.method === undefined ? [] : [matcher.method],
  );
  const methods = new Set([...NON_IDEMPOTENT_METHODS, ...namedMethods]);
  const byMethod = new Map<string, PathTable>();
  for (const method of methods) {
    byMethod.set(method, compilePaths(configuration, service, method));
  }
  const otherMethods = compilePaths(configuration, service, UNNAMED);
  return {byMethod, otherMethods};
}

function findPolicy(table: PathTable, path: string): RequestPolicy | undefined {
  const exact = table.byExactPath.get(path);
  if (exact !== undefined) {
    return exact;
  }
  for (const length of table.prefixLengths) {
    if (length <= path.length) {
      const policy = table.byPrefix.get(path.slice(0, length));
      if (policy !== undefined) {
        return policy;
      }
    }
  }
  return undefined;
}

/** Immutable lookup table of the policies of a configuration. */
export class PolicyTable {
  readonly #byService: ReadonlyMap<string, MethodTable>;
  readonly #defaultPolicy: RequestPolicy;
  readonly #otherServices: MethodTable;

  constructor(configuration: FleetConfiguration) {
    const {defaults, exceptions} = configuration;
    const services = new Set(
      exceptions.flatMap(({matcher}) =>
        matcher.service === undefined ? [] : [matcher.service],
      ),
    );
    const byService = new Map<string, MethodTable>();
    for (const service of services) {
      byService.set(service, compileMethods(configuration, service));
    }
    this.#byService = byService;
    this.#defaultPolicy = createPolicy(defaults, [], UNNAMED);
    this.#otherServices = compileMethods(configuration, UNNAMED);
  }

  /**
   * Returns the effective policy of a request.
   *
   * @example
   * table.getPolicy({method: 'POST', path: '/crates', service: 'orders'});
   */
  getPolicy(query: PolicyQuery): RequestPolicy {
    const {method, service} = query;
    const queryStart = query.path.indexOf(QUERY_SEPARATOR);
    const path = queryStart < 0 ? query.path : query.path.slice(0, queryStart);
    const methods = this.#byService.get(service) ?? this.#otherServices;
    const paths = methods.byMethod.get(method) ?? methods.otherMethods;
    return findPolicy(paths, path) ?? this.#defaultPolicy;
  }

  /**
   * Returns the policy of a service as a whole, for values that do not depend on
   * the request.
   *
   * @example
   * table.getServicePolicy('orders').maximumDepth;
   */
  getServicePolicy(service: string): RequestPolicy {
    return this.getPolicy({method: '', path: '', service});
  }
}

/**
 * Compiles a configuration into its policy table.
 *
 * @example
 * compilePolicies(configuration).getPolicy(query).importance; // 'normal'
 */
export function compilePolicies(
  configuration: FleetConfiguration,
): PolicyTable {
  return new PolicyTable(configuration);
}
