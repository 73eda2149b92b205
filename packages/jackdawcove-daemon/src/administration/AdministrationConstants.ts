/** Limits of the administration API. */

/** Longest body of a request, in bytes. */
export const REQUEST_BODY_BYTES = 524_288;

/** Longest headers of a request, in bytes. */
export const REQUEST_HEADER_BYTES = 16_384;

/** Time in which a client has to send its whole request. */
export const REQUEST_TIMEOUT_MILLISECONDS = 10_000;

/** Connections that the API takes at once. */
export const MAXIMUM_CONNECTIONS = 128;

/** Requests that the API works on at once. */
export const MAXIMUM_OPEN_REQUESTS = 32;

/** Time that the other daemons get to answer a query of the time line. */
export const FLEET_QUERY_TIMEOUT_MILLISECONDS = 2_000;

/** Interval in which overdue queries of the time line are ended. */
export const FLEET_QUERY_TICK_MILLISECONDS = 100;

/** Events of a whole answer, shared by the daemons that are asked. */
export const MAXIMUM_FLEET_EVENTS = 20_000;

/** Most events that one daemon answers. */
export const MAXIMUM_DAEMON_EVENTS = 512;

/** Fewest events that one daemon is asked for. */
export const MINIMUM_DAEMON_EVENTS = 16;

/** Interval of the gauges of the daemon's state. */
export const STATUS_METRICS_INTERVAL_MILLISECONDS = 5_000;
