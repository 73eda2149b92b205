/** Matchers of exceptions: which requests an exception holds for. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {MAXIMUM_PATH_LENGTH} from './ConfigurationConstants.js';

const WILDCARD = '*';
const METHOD_PATTERN = /^[A-Z]{1,16}$/;
const PATH_PATTERN = /^\/[^\s*?#]*\*?$/;

/** Schema of a matcher; a part that is left out matches everything. */
export const requestMatcherSchema = z.object({
  method: z
    .string()
    .regex(METHOD_PATTERN)
    .optional()
    .describe('an HTTP method in capitals, for example POST'),
  path: z
    .string()
    .max(MAXIMUM_PATH_LENGTH)
    .regex(PATH_PATTERN)
    .optional()
    .describe('a path from "/", or the start of one closed by "*"'),
  service: nameSchema.optional().describe('the name of a service'),
});

/** Requests that an exception holds for. */
export type RequestMatcher = Readonly<z.infer<typeof requestMatcherSchema>>;

/** Name of a part of a matcher. */
export type MatcherKey = keyof RequestMatcher;

/** Parts of a matcher. */
export const MATCHER_KEYS = Object.keys(
  requestMatcherSchema.shape,
) as MatcherKey[];

type PathPattern = {readonly isPrefix: boolean; readonly text: string};

/**
 * Splits a path of a matcher into its text and whether it is a prefix.
 *
 * @example
 * parsePathPattern('/crates/*'); // {isPrefix: true, text: '/crates/'}
 */
export function parsePathPattern(path: string | undefined): PathPattern {
  if (path === undefined) {
    return {isPrefix: true, text: ''};
  }
  const isPrefix = path.endsWith(WILDCARD);
  return {isPrefix, text: isPrefix ? path.slice(0, -1) : path};
}

/**
 * Tells whether every path of the inner pattern is one of the outer.
 *
 * @example
 * containsPath('/x*', '/x/y'); // true
 */
export function containsPath(
  outer: string | undefined,
  inner: string | undefined,
): boolean {
  if (outer === undefined) {
    return true;
  }
  if (!outer.endsWith(WILDCARD)) {
    return outer === inner;
  }
  return inner?.startsWith(outer.slice(0, -1)) === true;
}

function containsName(
  outer: string | undefined,
  inner: string | undefined,
): boolean {
  return outer === undefined || outer === inner;
}

/**
 * Tells whether every request of the inner matcher is one of the outer.
 *
 * @example
 * containsMatcher({service: 'orders'}, {method: 'POST', service: 'orders'}); // true
 */
export function containsMatcher(
  outer: RequestMatcher,
  inner: RequestMatcher,
): boolean {
  return (
    containsName(outer.service, inner.service) &&
    containsName(outer.method, inner.method) &&
    containsPath(outer.path, inner.path)
  );
}

/**
 * Tells whether some request could match both matchers.
 *
 * @example
 * overlapsMatcher({method: 'POST'}, {service: 'orders'}); // true
 */
export function overlapsMatcher(
  left: RequestMatcher,
  right: RequestMatcher,
): boolean {
  const isNameOverlapping = (
    a: string | undefined,
    b: string | undefined,
  ): boolean => containsName(a, b) || containsName(b, a);
  return (
    isNameOverlapping(left.service, right.service) &&
    isNameOverlapping(left.method, right.method) &&
    (containsPath(left.path, right.path) || containsPath(right.path, left.path))
  );
}

/**
 * Measures how narrow a matcher is: a matcher that contains another one, and is
 * not equal to it, has the smaller measure.
 *
 * @example
 * measureSpecificity({}); // 0
 */
export function computeSpecificity(matcher: RequestMatcher): number {
  const {isPrefix, text} = parsePathPattern(matcher.path);
  const names = [matcher.method, matcher.service];
  const namedCount = names.filter((name) => name !== undefined).length;
  return text.length + (isPrefix ? 0 : 1) + namedCount;
}

/**
 * Formats a matcher as one text, equal for equal matchers.
 *
 * @example
 * formatMatcher({service: 'orders'}); // 'service=orders'
 */
export function formatMatcher(matcher: RequestMatcher): string {
  const parts = MATCHER_KEYS.filter((key) => matcher[key] !== undefined);
  return parts.map((key) => `${key}=${String(matcher[key])}`).join(' ');
}
