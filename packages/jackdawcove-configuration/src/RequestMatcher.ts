/** Matchers, which select the requests to which an exception applies. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {MAXIMUM_PATH_LENGTH} from './ConfigurationConstants.js';

const WILDCARD = '*';
const METHOD_PATTERN = /^[A-Z]{1,16}$/;
const PATH_PATTERN = /^\/[^\s*?#]*\*?$/;

/** Schema of a matcher. An omitted field matches everything. */
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

/** Selects the requests to which an exception applies. */
export type RequestMatcher = Readonly<z.infer<typeof requestMatcherSchema>>;

/** Name of a field of a matcher. */
export type MatcherKey = keyof RequestMatcher;

/** Names of the fields of a matcher. */
export const MATCHER_KEYS = Object.keys(
  requestMatcherSchema.shape,
) as MatcherKey[];

type PathPattern = {readonly isPrefix: boolean; readonly text: string};

/**
 * Parses the path of a matcher. An undefined path is the empty prefix.
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
 * Checks whether the outer pattern matches every path that the inner one matches.
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
 * Checks whether the outer matcher matches every request of the inner one.
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
 * Checks whether a request can match both matchers.
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
 * Computes how specific a matcher is. A matcher that contains another, different
 * one has the smaller specificity.
 *
 * @example
 * computeSpecificity({}); // 0
 */
export function computeSpecificity(matcher: RequestMatcher): number {
  const {isPrefix, text} = parsePathPattern(matcher.path);
  const names = [matcher.method, matcher.service];
  const namedCount = names.filter((name) => name !== undefined).length;
  return text.length + (isPrefix ? 0 : 1) + namedCount;
}

/**
 * Formats a matcher as a string. Equal matchers have equal strings.
 *
 * @example
 * formatMatcher({service: 'orders'}); // 'service=orders'
 */
export function formatMatcher(matcher: RequestMatcher): string {
  const parts = MATCHER_KEYS.filter((key) => matcher[key] !== undefined);
  return parts.map((key) => `${key}=${String(matcher[key])}`).join(' ');
}
