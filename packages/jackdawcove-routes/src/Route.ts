/** Schemas of routes, which map requests to services, and of the limits of callers. */

import {importanceSchema, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {organisationSchema} from './Organisation.js';

/** Schema of one of the services that a route is split over. */
export const routeTargetSchema = z.object({
  service: nameSchema,
  weight: z.number().nonnegative(),
});

/** Schema of a route. */
export const routeSchema = z.object({
  /** Maximum number of instances that one request is sent to. */
  attempts: z.int().min(1),
  hostName: z.string().min(1),
  importance: importanceSchema,
  isIdempotent: z.boolean(),
  /** Whether requests need no key of an organisation; false if absent. */
  isPublic: z.boolean().optional(),
  /** Time within which an answer is of full use to the caller. */
  latencyObjectiveMilliseconds: z.number().positive(),
  name: z.string().min(1),
  /** Begins and ends with a slash. */
  pathPrefix: z.string().regex(/^\/(.*\/)?$/),
  targets: z.array(routeTargetSchema).min(1),
  /** Maximum time that a caller waits for an answer. */
  timeoutMilliseconds: z.number().positive(),
});

/** Schema of the limits on requests and connections of callers. */
export const callerLimitsSchema = z.object({
  bodyBytes: z.int().min(0),
  headerBytes: z.int().min(1),
  headerTimeoutMilliseconds: z.int().min(1),
  idleTimeoutMilliseconds: z.int().min(1),
});

/** Schema of a configuration with routes. */
export const routedConfigurationSchema = z.object({
  limits: callerLimitsSchema,
  /** Absent if requests carry no keys. */
  organisations: z.array(organisationSchema).optional(),
  routes: z.array(routeSchema),
});

/** One of the services that a route is split over. */
export type RouteTarget = z.infer<typeof routeTargetSchema>;

/** Requests of one host name and path prefix. */
export type Route = z.infer<typeof routeSchema>;

/** Limits on requests and connections of callers. */
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** Routes and limits that are in force together. */
export type RoutedConfiguration = z.infer<typeof routedConfigurationSchema>;

/** Limits that apply until a configuration is loaded. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = Object.freeze({
  bodyBytes: 33_554_432,
  headerBytes: 16_384,
  headerTimeoutMilliseconds: 30_000,
  idleTimeoutMilliseconds: 30_000,
});
