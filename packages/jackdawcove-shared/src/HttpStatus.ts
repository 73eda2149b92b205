/** Status codes of HTTP (RFC 9110, section 15). */

/** Least status code of HTTP. */
export const MINIMUM_HTTP_STATUS = 100;

/** Greatest status code of HTTP. */
export const MAXIMUM_HTTP_STATUS = 599;

/** Least status code of an answer; lower ones are interim. */
export const FIRST_FINAL_STATUS = 200;

/**
 * Returns whether a status can be that of an answer: an interim one, or a number that
 * HTTP does not define, cannot.
 *
 * @example
 * isFinalStatus(103); // false, and so are 0 and 600
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= MAXIMUM_HTTP_STATUS;
}
