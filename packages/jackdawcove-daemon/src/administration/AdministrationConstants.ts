/** Limits of the administration API. */

/** Maximum size of a request body, in bytes. */
export const REQUEST_BODY_BYTES = 524_288;

/** Maximum size of the request headers, in bytes. */
export const REQUEST_HEADER_BYTES = 16_384;

/** Time that a client has to send its whole request. */
export const REQUEST_TIMEOUT_MILLISECONDS = 10_000;

/** Maximum number of concurrent connections. */
export const MAXIMUM_CONNECTIONS = 128;

/** Maximum number of concurrent requests. */
export const MAXIMUM_OPEN_REQUESTS = 32;

/** Time that the other daemons have to answer a query of the timeline. */
export const FLEET_QUERY_TIMEOUT_MILLISECONDS = 2_000;

/** Interval of the check for timed out queries of the timeline. */
export const FLEET_QUERY_TICK_MILLISECONDS = 100;

/** Event limit of a query, divided among the queried daemons. */
export const MAXIMUM_FLEET_EVENTS = 20_000;

/** Maximum number of events in the answer of one daemon. */
export const MAXIMUM_DAEMON_EVENTS = 512;

/** Lower bound of the event limit for one daemon, however many are queried. */
export const MINIMUM_DAEMON_EVENTS = 16;

/** Interval of the gauges that report the state of the daemon. */
export const STATUS_METRICS_INTERVAL_MILLISECONDS = 5_000;
