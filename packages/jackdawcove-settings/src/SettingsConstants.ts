/** Ranges and defaults of the settings of one daemon. */

import type {IntegerRange} from './SettingsFields.js';

/** Shortest fleet key and bearer token, in characters. */
export const MINIMUM_SECRET_LENGTH = 16;

/** Numbers of voters with which a fleet can start. */
export const VOTER_COUNTS: readonly number[] = [3, 5, 7];

/** Address of the administration API unless set. */
export const DEFAULT_ADMINISTRATION_ADDRESS = '127.0.0.1:7104';

/** Prefix of the names of metrics unless set. */
export const DEFAULT_METRICS_PREFIX = 'jackdawcove.';

/** Calls that a daemon holds open at once. */
export const OPEN_CALLS: IntegerRange = {
  defaultValue: 10_000,
  maximum: 1_000_000,
  minimum: 1,
};

/** Bytes that a daemon holds in buffers. */
export const BUFFERED_BYTES: IntegerRange = {
  defaultValue: 67_108_864,
  maximum: 4_294_967_296,
  minimum: 65_536,
};

/** Event loop delay above which a daemon sheds, in milliseconds. */
export const EVENT_LOOP_DELAY_MILLISECONDS: IntegerRange = {
  defaultValue: 100,
  maximum: 10_000,
  minimum: 1,
};

/** Bytes of the headers of one request. */
export const HEADER_BYTES: IntegerRange = {
  defaultValue: 16_384,
  maximum: 1_048_576,
  minimum: 1_024,
};

/** Bytes of the body of one request. */
export const BODY_BYTES: IntegerRange = {
  defaultValue: 33_554_432,
  maximum: 1_073_741_824,
  minimum: 1_024,
};

/** Time in which a caller has to send its whole request, in milliseconds. */
export const CALLER_TIMEOUT_MILLISECONDS: IntegerRange = {
  defaultValue: 30_000,
  maximum: 600_000,
  minimum: 10,
};

/** Events that the time line of a daemon holds. */
export const TIMELINE_CAPACITY: IntegerRange = {
  defaultValue: 10_000,
  maximum: 1_000_000,
  minimum: 16,
};

/** Time for which an announced backend server counts without a renewal. */
export const ANNOUNCEMENT_LEASE_MILLISECONDS: IntegerRange = {
  defaultValue: 3_000,
  maximum: 600_000,
  minimum: 1_000,
};

/** Time that a drain gets to spread before new callers are refused. */
export const DRAIN_SPREAD_MILLISECONDS: IntegerRange = {
  defaultValue: 1_000,
  maximum: 60_000,
  minimum: 0,
};

/** Retries of one service that a daemon may make at once after a quiet time. */
export const RETRY_TOKENS: IntegerRange = {
  defaultValue: 20,
  maximum: 100_000,
  minimum: 0,
};

/** Retries that a daemon earns with a thousand successes of a service. */
export const RETRIES_PER_MILLE: IntegerRange = {
  defaultValue: 100,
  maximum: 1_000,
  minimum: 0,
};

/** Backend servers that a request may crash before it is quarantined. */
export const QUARANTINE_CRASHES: IntegerRange = {
  defaultValue: 2,
  maximum: 100,
  minimum: 1,
};

/** Time that requests in flight get to finish on a planned stop. */
export const DRAIN_GRACE_MILLISECONDS: IntegerRange = {
  defaultValue: 30_000,
  maximum: 3_600_000,
  minimum: 0,
};
