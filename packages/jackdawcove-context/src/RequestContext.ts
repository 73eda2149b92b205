/** Context of a request: what its root decided once for every hop. */

import {hashToUnit, importanceSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  MAXIMUM_IDENTIFIER_LENGTH,
  MAXIMUM_SUPPORTED_DEPTH,
} from './ContextConstants.js';

/** Schema of the context of a request. */
export const requestContextSchema = z.object({
  /** Fraction in [0, 1) of the root request, the same at every hop. */
  cohort: z.number().min(0).lt(1),
  /** Calls between the root and this one: 0 at the root. */
  depth: z.int().min(0).max(MAXIMUM_SUPPORTED_DEPTH),
  importance: importanceSchema,
  /** Revision of the configuration that the root was decided under. */
  revision: z.int().nonnegative(),
  rootIdentifier: z.string().min(1).max(MAXIMUM_IDENTIFIER_LENGTH),
});

/** Context of a request. */
export type RequestContext = z.infer<typeof requestContextSchema>;

/** What the root of a request decides. */
export type RootAttributes = Omit<RequestContext, 'cohort' | 'depth'>;

/**
 * Creates the context of a root request.
 *
 * @example
 * createRootContext({importance: 'urgent', revision: 7, rootIdentifier: 'a.1'});
 */
export function createRootContext(attributes: RootAttributes): RequestContext {
  return {
    ...attributes,
    cohort: getCohort(attributes.rootIdentifier),
    depth: 0,
  };
}

/**
 * Returns the context of a call made while the given request runs.
 *
 * @example
 * createChildContext(context).depth; // context.depth + 1
 */
export function createChildContext(context: RequestContext): RequestContext {
  return {...context, depth: context.depth + 1};
}

/**
 * Returns the cohort of a root request: a hash in [0, 1).
 *
 * @example
 * getCohort('erie-dock-1.1.42'); // the same number in every daemon
 */
export function getCohort(rootIdentifier: string): number {
  return hashToUnit(rootIdentifier);
}
