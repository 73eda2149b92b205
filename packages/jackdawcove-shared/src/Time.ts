/** Units of time and types of clocks. */

/** A duration or a point on a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** Returns the monotonic time in milliseconds, which never goes backwards. */
export type MonotonicClock = () => Milliseconds;

/** Returns the wall-clock time in milliseconds since the Unix epoch. */
export type WallClock = () => Milliseconds;

/** Milliseconds in a second. */
export const MILLISECONDS_PER_SECOND = 1_000;

/** Milliseconds in a minute. */
export const MILLISECONDS_PER_MINUTE = 60_000;
