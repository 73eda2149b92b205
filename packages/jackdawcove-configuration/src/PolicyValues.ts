/** Policy values of the fleet configuration, and their defaults. */

import {IMPORTANCES} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  BODY_LIMIT_BYTES,
  COLD_START_MILLISECONDS,
  DEADLINE_MILLISECONDS,
  MAXIMUM_DEPTH,
  QUARANTINE_MILLISECONDS,
  QUEUE_DELAY_LIMIT_MILLISECONDS,
  QUEUE_DELAY_TARGET_MILLISECONDS,
  RETRY_BUDGET_RATIO,
  RETRY_TOKENS,
} from './ConfigurationConstants.js';
import {
  createChoiceField,
  createIntegerField,
  createRatioField,
} from './PolicyFields.js';

/** Ways to determine whether a request is idempotent. */
export const IDEMPOTENT_CHOICES = ['by_method', 'yes', 'no'] as const;

/** Schema of the policy values. It parses the text of the document. */
export const policyValuesSchema = z.object({
  bodyLimitBytes: createIntegerField(BODY_LIMIT_BYTES),
  coldStartMilliseconds: createIntegerField(COLD_START_MILLISECONDS),
  deadlineMilliseconds: createIntegerField(DEADLINE_MILLISECONDS),
  idempotent: createChoiceField(IDEMPOTENT_CHOICES),
  importance: createChoiceField(IMPORTANCES),
  maximumDepth: createIntegerField(MAXIMUM_DEPTH),
  quarantineMilliseconds: createIntegerField(QUARANTINE_MILLISECONDS),
  queueDelayLimitMilliseconds: createIntegerField(
    QUEUE_DELAY_LIMIT_MILLISECONDS,
  ),
  queueDelayTargetMilliseconds: createIntegerField(
    QUEUE_DELAY_TARGET_MILLISECONDS,
  ),
  retryBudgetRatio: createRatioField(RETRY_BUDGET_RATIO),
  retryTokens: createIntegerField(RETRY_TOKENS),
});

/** Policy values, which the defaults set and exceptions override. */
export type PolicyValues = Readonly<z.infer<typeof policyValuesSchema>>;

/** Key of a policy value, as written in code. */
export type PolicyKey = keyof PolicyValues;

/** Keys of the policy values, in alphabetical order. */
export const POLICY_KEYS = Object.keys(policyValuesSchema.shape) as PolicyKey[];

/**
 * Keys that apply to a service as a whole. An exception that matches by method
 * or path cannot override them.
 */
export const SERVICE_POLICY_KEYS: readonly PolicyKey[] = [
  'coldStartMilliseconds',
  'queueDelayLimitMilliseconds',
  'queueDelayTargetMilliseconds',
  'retryBudgetRatio',
];

/**
 * Keys that the daemon does not implement yet. A document that sets one is
 * refused, because every accepted value must take effect.
 */
export const UNAPPLIED_POLICY_KEYS: readonly PolicyKey[] = [
  'coldStartMilliseconds',
  'quarantineMilliseconds',
  'queueDelayLimitMilliseconds',
  'queueDelayTargetMilliseconds',
  'retryBudgetRatio',
];

/** Keys that a document may set. */
export const APPLIED_POLICY_KEYS: readonly PolicyKey[] = POLICY_KEYS.filter(
  (key) => !UNAPPLIED_POLICY_KEYS.includes(key),
);

/** Values that apply if the document does not set them. */
export const DEFAULT_POLICY_VALUES: PolicyValues = Object.freeze({
  bodyLimitBytes: BODY_LIMIT_BYTES.defaultValue,
  coldStartMilliseconds: COLD_START_MILLISECONDS.defaultValue,
  deadlineMilliseconds: DEADLINE_MILLISECONDS.defaultValue,
  idempotent: 'by_method',
  importance: 'normal',
  maximumDepth: MAXIMUM_DEPTH.defaultValue,
  quarantineMilliseconds: QUARANTINE_MILLISECONDS.defaultValue,
  queueDelayLimitMilliseconds: QUEUE_DELAY_LIMIT_MILLISECONDS.defaultValue,
  queueDelayTargetMilliseconds: QUEUE_DELAY_TARGET_MILLISECONDS.defaultValue,
  retryBudgetRatio: RETRY_BUDGET_RATIO.defaultValue,
  retryTokens: RETRY_TOKENS.defaultValue,
});

/**
 * Converts a key as written in code to the key of the document.
 *
 * @example
 * toDocumentKey('maximumDepth'); // 'maximum_depth'
 */
export function toDocumentKey(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

/**
 * Returns the policy key for a key of a document, or undefined if a document may
 * not set it.
 *
 * @example
 * findPolicyKey('maximum_depth'); // 'maximumDepth'
 */
export function findPolicyKey(documentKey: string): PolicyKey | undefined {
  return APPLIED_POLICY_KEYS.find((key) => toDocumentKey(key) === documentKey);
}
