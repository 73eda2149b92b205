/** Limits, ranges and defaults of the fleet configuration. */

import type {NumberRange} from './PolicyFields.js';

/** Longest document, in bytes of UTF-8. */
export const MAXIMUM_DOCUMENT_BYTES = 131_072;

/** Most exceptions of a document. */
export const MAXIMUM_EXCEPTIONS = 300;

/** Longest reason, in characters. */
export const MAXIMUM_REASON_LENGTH = 1_000;

/** Longest path of a matcher, in characters. */
export const MAXIMUM_PATH_LENGTH = 1_024;

/** Section that holds the defaults. */
export const DEFAULTS_SECTION = 'defaults';

/** Start of the name of a section that holds an exception. */
export const EXCEPTION_PREFIX = 'exception.';

/** Key of the reason of an exception. */
export const REASON_KEY = 'reason';

/** Methods of requests that are not idempotent unless configured. */
export const NON_IDEMPOTENT_METHODS: readonly string[] = ['PATCH', 'POST'];

/** Time that a root request may take. */
export const DEADLINE_MILLISECONDS: NumberRange = {
  defaultValue: 10_000,
  maximum: 600_000,
  minimum: 10,
};

/** Calls of a chain, from the root to the deepest. */
export const MAXIMUM_DEPTH: NumberRange = {
  defaultValue: 24,
  maximum: 64,
  minimum: 1,
};

/** Retries of a root request, shared by the whole call chain. */
export const RETRY_TOKENS: NumberRange = {
  defaultValue: 3,
  maximum: 32,
  minimum: 0,
};

/** Retries per successful request of a service. */
export const RETRY_BUDGET_RATIO: NumberRange = {
  defaultValue: 0.1,
  maximum: 1,
  minimum: 0,
};

/** Longest body of a request. */
export const BODY_LIMIT_BYTES: NumberRange = {
  defaultValue: 33_554_432,
  maximum: 1_073_741_824,
  minimum: 0,
};

/** Queueing delay above which a service counts as overloaded. */
export const QUEUE_DELAY_TARGET_MILLISECONDS: NumberRange = {
  defaultValue: 20,
  maximum: 5_000,
  minimum: 1,
};

/** Queueing delay after which a request is refused. */
export const QUEUE_DELAY_LIMIT_MILLISECONDS: NumberRange = {
  defaultValue: 200,
  maximum: 60_000,
  minimum: 1,
};

/** Time in which the limit of a starting instance rises. */
export const COLD_START_MILLISECONDS: NumberRange = {
  defaultValue: 10_000,
  maximum: 600_000,
  minimum: 0,
};

/** Time that a fingerprint that crashed two backend servers stays refused. */
export const QUARANTINE_MILLISECONDS: NumberRange = {
  defaultValue: 600_000,
  maximum: 86_400_000,
  minimum: 1_000,
};
