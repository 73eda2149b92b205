/** Limits, ranges and defaults of the fleet configuration. */

import type {NumberRange} from './PolicyFields.js';

/** Maximum length of a document, in bytes of UTF-8. */
export const MAXIMUM_DOCUMENT_BYTES = 131_072;

/** Maximum number of exceptions in a document. */
export const MAXIMUM_EXCEPTIONS = 300;

/** Maximum length of a reason, in characters. */
export const MAXIMUM_REASON_LENGTH = 1_000;

/** Maximum length of the path of a matcher, in characters. */
export const MAXIMUM_PATH_LENGTH = 1_024;

/** Name of the section with the defaults. */
export const DEFAULTS_SECTION = 'defaults';

/** Prefix of the name of a section with an exception. */
export const EXCEPTION_PREFIX = 'exception.';

/** Key of the reason in the section of an exception. */
export const REASON_KEY = 'reason';

/** Methods whose requests are not idempotent unless configured otherwise. */
export const NON_IDEMPOTENT_METHODS: readonly string[] = ['PATCH', 'POST'];

/** Time limit of a root request. */
export const DEADLINE_MILLISECONDS: NumberRange = {
  defaultValue: 10_000,
  maximum: 600_000,
  minimum: 10,
};

/** Maximum number of calls in a chain, from the root to the deepest call. */
export const MAXIMUM_DEPTH: NumberRange = {
  defaultValue: 24,
  maximum: 64,
  minimum: 1,
};

/** Retry tokens of a root request, shared by its whole call chain. */
export const RETRY_TOKENS: NumberRange = {
  defaultValue: 3,
  maximum: 32,
  minimum: 0,
};

/** Retry budget of a service: retries per successful request. */
export const RETRY_BUDGET_RATIO: NumberRange = {
  defaultValue: 0.1,
  maximum: 1,
  minimum: 0,
};

/** Maximum size of a request body. */
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

/** Ramp-up time of the concurrency limit of a starting instance. */
export const COLD_START_MILLISECONDS: NumberRange = {
  defaultValue: 10_000,
  maximum: 600_000,
  minimum: 0,
};

/** Time for which a fingerprint that crashed two backend servers is refused. */
export const QUARANTINE_MILLISECONDS: NumberRange = {
  defaultValue: 600_000,
  maximum: 86_400_000,
  minimum: 1_000,
};
