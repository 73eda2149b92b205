/** Load of an instance, as its daemon reports it to the daemons of callers. */

/** Rate limit of an instance. */
export type RateLimitReport = {
  /** Requests per second that the instance takes; undefined: no limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time for which the limit delays the next request. */
  readonly startDelayMilliseconds: number;
};

/** Load of an instance as its daemon sees it; sent with every answer and failure. */
export type InstanceLoad = {
  /** Requests that the instance may run concurrently. */
  readonly limit: number;
  readonly queued: number;
  /** Undefined until the process of the instance has answered its daemon. */
  readonly rateLimit: RateLimitReport | undefined;
  readonly running: number;
  /** Requests with this shed rank or a higher one are refused at their root. */
  readonly threshold: number;
};

/**
 * Returns the fields of a load in wire order. The rate limit is omitted while it is not
 * known.
 *
 * @example
 * encodeLoad(load); // [37, 2, 37, 2400]
 */
export function encodeLoad({
  limit,
  queued,
  rateLimit,
  running,
  threshold,
}: InstanceLoad): readonly (null | number)[] {
  const fields = [limit, queued, running, threshold];
  if (rateLimit === undefined) {
    return fields;
  }
  const {requestsPerSecond, startDelayMilliseconds} = rateLimit;
  return requestsPerSecond === undefined
    ? [...fields, null]
    : [...fields, requestsPerSecond, Math.round(startDelayMilliseconds)];
}

function decodeRateLimit(
  rate: unknown,
  startDelay: unknown,
): 'malformed' | RateLimitReport | undefined {
  if (rate === undefined) {
    return undefined;
  }
  if (rate === null) {
    return {requestsPerSecond: undefined, startDelayMilliseconds: 0};
  }
  return typeof rate === 'number' && typeof startDelay === 'number'
    ? {requestsPerSecond: rate, startDelayMilliseconds: startDelay}
    : 'malformed';
}

/**
 * Decodes a load; returns undefined when it is malformed.
 *
 * @example
 * decodeLoad([37, 2, 37, 2400])?.limit; // 37
 */
export function decodeLoad(value: unknown): InstanceLoad | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  const [limit, queued, running, threshold, rate, startDelay] =
    value as readonly unknown[];
  const rateLimit = decodeRateLimit(rate, startDelay);
  return typeof limit === 'number' &&
    typeof queued === 'number' &&
    typeof running === 'number' &&
    typeof threshold === 'number' &&
    rateLimit !== 'malformed'
    ? {limit, queued, rateLimit, running, threshold}
    : undefined;
}
