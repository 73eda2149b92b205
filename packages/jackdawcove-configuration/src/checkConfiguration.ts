/** Checks that need more than one section of a document. */

import type {ConfigurationFault} from './ConfigurationFault.js';
import type {LocatedException} from './parseFleetConfiguration.js';
import type {PolicyValues} from './PolicyValues.js';

import {
  DEFAULTS_SECTION,
  EXCEPTION_PREFIX,
  MAXIMUM_EXCEPTIONS,
} from './ConfigurationConstants.js';
import {
  findSharedKeys,
  mergePolicyValues,
  sortByContainment,
} from './FleetConfiguration.js';
import {
  APPLIED_POLICY_KEYS,
  POLICY_KEYS,
  SERVICE_POLICY_KEYS,
  toDocumentKey,
} from './PolicyValues.js';
import {
  containsMatcher,
  formatMatcher,
  MATCHER_KEYS,
  overlapsMatcher,
} from './RequestMatcher.js';

const DELAY_KEYS = [
  'queueDelayLimitMilliseconds',
  'queueDelayTargetMilliseconds',
] as const;

function createExceptionFault(
  exception: LocatedException,
  reason: string,
  allowed: string,
  key = '',
): ConfigurationFault {
  const section = `${EXCEPTION_PREFIX}${exception.name}`;
  return {allowed, key, line: exception.line, reason, section};
}

function checkException(exception: LocatedException): ConfigurationFault[] {
  const {matcher, overrides} = exception;
  const faults: ConfigurationFault[] = [];
  if (formatMatcher(matcher) === '') {
    const allowed = `one or more of ${MATCHER_KEYS.join(', ')}`;
    faults.push(createExceptionFault(exception, 'matches everything', allowed));
  }
  if (Object.keys(overrides).length === 0) {
    const allowed = APPLIED_POLICY_KEYS.map(toDocumentKey).join(', ');
    faults.push(createExceptionFault(exception, 'overrides nothing', allowed));
  }
  if (matcher.method === undefined && matcher.path === undefined) {
    return faults;
  }
  for (const key of SERVICE_POLICY_KEYS) {
    if (overrides[key] !== undefined) {
      const allowed = 'exceptions that match by service only';
      const reason = 'holds for a service as a whole';
      faults.push(
        createExceptionFault(exception, reason, allowed, toDocumentKey(key)),
      );
    }
  }
  return faults;
}

function checkPair(
  left: LocatedException,
  right: LocatedException,
): ConfigurationFault[] {
  const isRightContained = containsMatcher(left.matcher, right.matcher);
  const isLeftContained = containsMatcher(right.matcher, left.matcher);
  if (isRightContained && isLeftContained) {
    const reason = `matches the same requests as [${EXCEPTION_PREFIX}${left.name}]`;
    return [createExceptionFault(right, reason, 'one exception for both')];
  }
  if (
    isRightContained ||
    isLeftContained ||
    !overlapsMatcher(left.matcher, right.matcher)
  ) {
    return [];
  }
  return findSharedKeys(left, right, POLICY_KEYS).map((key) =>
    createExceptionFault(
      right,
      `is ambiguous: [${EXCEPTION_PREFIX}${left.name}] matches some of the same requests and sets it too`,
      'matchers of which one contains the other',
      toDocumentKey(key),
    ),
  );
}

function checkDelays(
  section: string,
  line: number,
  values: PolicyValues,
): ConfigurationFault[] {
  const {queueDelayLimitMilliseconds, queueDelayTargetMilliseconds} = values;
  if (queueDelayLimitMilliseconds >= queueDelayTargetMilliseconds) {
    return [];
  }
  return [
    {
      allowed: `queue_delay_target_milliseconds (${String(queueDelayTargetMilliseconds)}) or more`,
      key: 'queue_delay_limit_milliseconds',
      line,
      reason: `${String(queueDelayLimitMilliseconds)} is below the target`,
      section,
    },
  ];
}

function checkExceptionDelays(
  exception: LocatedException,
  defaults: PolicyValues,
  exceptions: readonly LocatedException[],
): ConfigurationFault[] {
  if (!DELAY_KEYS.some((key) => exception.overrides[key] !== undefined)) {
    return [];
  }
  const containing = exceptions.filter((other) =>
    containsMatcher(other.matcher, exception.matcher),
  );
  const values = mergePolicyValues(defaults, sortByContainment(containing));
  const section = `${EXCEPTION_PREFIX}${exception.name}`;
  return checkDelays(section, exception.line, values);
}

/**
 * Finds exceptions that match everything, override nothing or are ambiguous,
 * and values that contradict one another.
 *
 * @example
 * checkConfiguration(DEFAULT_POLICY_VALUES, []); // []
 */
export function checkConfiguration(
  defaults: PolicyValues,
  exceptions: readonly LocatedException[],
): ConfigurationFault[] {
  if (exceptions.length > MAXIMUM_EXCEPTIONS) {
    const reason = `holds ${String(exceptions.length)} exceptions`;
    const allowed = `${String(MAXIMUM_EXCEPTIONS)} or fewer`;
    return [{allowed, key: '', line: 1, reason, section: ''}];
  }
  return [
    ...checkDelays(DEFAULTS_SECTION, 1, defaults),
    ...exceptions.flatMap(checkException),
    ...exceptions.flatMap((right, index) =>
      exceptions.slice(0, index).flatMap((left) => checkPair(left, right)),
    ),
    ...exceptions.flatMap((exception) =>
      checkExceptionDelays(exception, defaults, exceptions),
    ),
  ];
}
