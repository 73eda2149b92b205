/** Ranges and defaults of the settings of one daemon. */

import type {IntegerRange} from './SettingsFields.js';

/** Minimum length of a fleet key or bearer token, in characters. */
export const MINIMUM_SECRET_LENGTH = 16;

/** Numbers of voters with which a fleet can start. */
export const VOTER_COUNTS: readonly number[] = [3, 5, 7];

/**
 * Voters that may be lost at the same time. The leader keeps twice as many and one
 * more, and replaces those that are gone; 0 leaves the voters to operators.
 */
export const FAULT_TOLERANCE: IntegerRange = {
  defaultValue: 1,
  maximum: 3,
  minimum: 0,
};

/** Default address of the administration API. */
export const DEFAULT_ADMINISTRATION_ADDRESS = '127.0.0.1:7104';

/** Default prefix of metric names. */
export const DEFAULT_METRICS_PREFIX = 'jackdawcove.';

/** Limit of the calls that a daemon has open at the same time. */
export const OPEN_CALLS: IntegerRange = {
  defaultValue: 10_000,
  maximum: 1_000_000,
  minimum: 1,
};

/** Limit of the bytes that a daemon holds in buffers. */
export const BUFFERED_BYTES: IntegerRange = {
  defaultValue: 67_108_864,
  maximum: 4_294_967_296,
  minimum: 65_536,
};

/** Limit of the connections of callers that are open at once. */
export const CALLER_CONNECTIONS: IntegerRange = {
  defaultValue: 10_000,
  maximum: 1_000_000,
  minimum: 16,
};

/** Event loop delay above which a daemon sheds requests, in milliseconds. */
export const EVENT_LOOP_DELAY_MILLISECONDS: IntegerRange = {
  defaultValue: 100,
  maximum: 10_000,
  minimum: 1,
};

/** Limit of the header bytes of one request. */
export const HEADER_BYTES: IntegerRange = {
  defaultValue: 16_384,
  maximum: 1_048_576,
  minimum: 1_024,
};

/** Limit of the body bytes of one request. */
export const BODY_BYTES: IntegerRange = {
  defaultValue: 33_554_432,
  maximum: 1_073_741_824,
  minimum: 1_024,
};

/** Time limit for a caller to send its complete request, in milliseconds. */
export const CALLER_TIMEOUT_MILLISECONDS: IntegerRange = {
  defaultValue: 30_000,
  maximum: 600_000,
  minimum: 10,
};

/** Number of events that the timeline of a daemon retains. */
export const TIMELINE_CAPACITY: IntegerRange = {
  defaultValue: 10_000,
  maximum: 1_000_000,
  minimum: 16,
};

/** Lease of an announced backend server; each announcement renews it. */
export const ANNOUNCEMENT_LEASE_MILLISECONDS: IntegerRange = {
  defaultValue: 3_000,
  maximum: 600_000,
  minimum: 1_000,
};

/** Interval at which a backend server renews its announcement. */
export const ANNOUNCEMENT_INTERVAL_MILLISECONDS: IntegerRange = {
  defaultValue: 1_000,
  maximum: 600_000,
  minimum: 1,
};

/** Difference between the clocks of a backend server and its daemon. */
export const ANNOUNCEMENT_SKEW_MILLISECONDS: IntegerRange = {
  defaultValue: 5_000,
  maximum: 3_600_000,
  minimum: 0,
};

/** Time for a drain to reach other daemons before new callers are refused. */
export const DRAIN_SPREAD_MILLISECONDS: IntegerRange = {
  defaultValue: 1_000,
  maximum: 60_000,
  minimum: 0,
};

/** Burst of retries to a service that a daemon may make after an idle period. */
export const RETRY_TOKENS: IntegerRange = {
  defaultValue: 20,
  maximum: 100_000,
  minimum: 0,
};

/** Retries to a service that a daemon gains per thousand successful calls. */
export const RETRIES_PER_MILLE: IntegerRange = {
  defaultValue: 100,
  maximum: 1_000,
  minimum: 0,
};

/**
 * Rate at which expensive routes are admitted while less expensive ones of the same
 * importance are shed, per thousand of the rate of those.
 */
export const FAIR_SHARE_PER_MILLE: IntegerRange = {
  defaultValue: 500,
  maximum: 1_000,
  minimum: 1,
};

/** Number of backend servers that a request crashes before it is quarantined. */
export const QUARANTINE_CRASHES: IntegerRange = {
  defaultValue: 2,
  maximum: 100,
  minimum: 1,
};

/** Time for requests in flight to finish during a graceful shutdown. */
export const DRAIN_GRACE_MILLISECONDS: IntegerRange = {
  defaultValue: 30_000,
  maximum: 3_600_000,
  minimum: 0,
};
