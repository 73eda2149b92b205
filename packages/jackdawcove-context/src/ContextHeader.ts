/**
 * Codec of the Jackdaw-Context header; its value is opaque to backend servers.
 */

import type {RequestContext} from './RequestContext.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {Buffer} from 'node:buffer';

import {Maybe} from 'true-myth/maybe';
import {z} from 'zod';

import {
  CONTEXT_VERSION,
  MAXIMUM_HEADER_LENGTH,
  MAXIMUM_IDENTIFIER_LENGTH,
} from './ContextConstants.js';
import {requestContextSchema} from './RequestContext.js';

/** Context that a daemon sends to a backend server with a request. */
export type PropagatedContext = {
  readonly context: RequestContext;
  /** Handle of the call in progress on the daemon that encoded the header. */
  readonly parentHandle: string;
  /** Remaining time until the deadline when the header was encoded. */
  readonly remainingMilliseconds: Milliseconds;
};

const PREFIX = `${String(CONTEXT_VERSION)}.`;
const ENCODING = 'base64url';

const {cohort, depth, importance, revision, rootIdentifier} =
  requestContextSchema.shape;

const encodedSchema = z.tuple([
  rootIdentifier,
  depth,
  importance,
  cohort,
  revision,
  z.number().nonnegative(),
  z.string().min(1).max(MAXIMUM_IDENTIFIER_LENGTH),
]);

/**
 * Encodes a context as the value of the header.
 *
 * @example
 * encodeContextHeader({context, parentHandle: 'a.1.1', remainingMilliseconds: 250});
 */
export function encodeContextHeader(propagated: PropagatedContext): string {
  const {context} = propagated;
  const fields: z.infer<typeof encodedSchema> = [
    context.rootIdentifier,
    context.depth,
    context.importance,
    context.cohort,
    context.revision,
    Math.max(0, Math.floor(propagated.remainingMilliseconds)),
    propagated.parentHandle,
  ];
  return PREFIX + Buffer.from(JSON.stringify(fields)).toString(ENCODING);
}

/**
 * Decodes the value of the header; returns Nothing if it is missing, too long,
 * of another version or malformed. A call without a valid context is a root
 * request.
 *
 * @example
 * decodeContextHeader(value).map(({context}) => context.importance);
 */
export function decodeContextHeader(
  value: string | undefined,
): Maybe<PropagatedContext> {
  if (value === undefined || value.length > MAXIMUM_HEADER_LENGTH) {
    return Maybe.nothing();
  }
  if (!value.startsWith(PREFIX)) {
    return Maybe.nothing();
  }
  const parsed = encodedSchema.safeParse(parseFields(value));
  return parsed.success
    ? Maybe.just(createPropagatedContext(parsed.data))
    : Maybe.nothing();
}

function parseFields(value: string): unknown {
  try {
    const text = Buffer.from(value.slice(PREFIX.length), ENCODING).toString();
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function createPropagatedContext(
  fields: z.infer<typeof encodedSchema>,
): PropagatedContext {
  const [
    root,
    hops,
    importanceName,
    cohortFraction,
    configurationRevision,
    remaining,
    handle,
  ] = fields;
  return {
    context: {
      cohort: cohortFraction,
      depth: hops,
      importance: importanceName,
      revision: configurationRevision,
      rootIdentifier: root,
    },
    parentHandle: handle,
    remainingMilliseconds: remaining,
  };
}
