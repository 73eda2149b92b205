/**
 * Context of a request: attributes that the root decides once for every hop.
 */

import {hashToUnit, importanceSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  MAXIMUM_IDENTIFIER_LENGTH,
  MAXIMUM_SUPPORTED_DEPTH,
} from './ContextConstants.js';

/** Schema of the context of a request. */
export const requestContextSchema = z.object({
  /** Hash of the root identifier in [0, 1), the same at every hop. */
  cohort: z.number().min(0).lt(1),
  /** Number of calls from the root to this request: 0 at the root. */
  depth: z.int().min(0).max(MAXIMUM_SUPPORTED_DEPTH),
  importance: importanceSchema,
  /** Revision of the configuration that the root request used. */
  revision: z.int().nonnegative(),
  rootIdentifier: z.string().min(1).max(MAXIMUM_IDENTIFIER_LENGTH),
});

/** Context of a request. */
export type RequestContext = z.infer<typeof requestContextSchema>;

/** Attributes of a root request from which its context is created. */
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
 * Returns the context of a call that is made while the given request runs.
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
