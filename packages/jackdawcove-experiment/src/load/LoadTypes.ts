/** Load classes of the callers, and the outcomes of their requests. */

import {addressSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of a load class: one kind of request that callers send. */
export const loadClassSchema = z.object({
  bodyBytes: z.int().min(0).default(0),
  importance: z.string().default('normal'),
  method: z.enum(['GET', 'PATCH', 'POST', 'PUT']).default('GET'),
  name: z.string(),
  path: z.string(),
  service: z.string(),
  share: z.number().positive(),
});

/** A load class: one kind of request that callers send. */
export type LoadClass = z.infer<typeof loadClassSchema>;

/** Schema of one step of the load: the rate from a point in time until the next step. */
export const loadStepSchema = z.object({
  atMilliseconds: z.number().min(0),
  ratePerSecond: z.number().min(0),
});

/** One step of the load. */
export type LoadStep = z.infer<typeof loadStepSchema>;

/** Schema of the settings of the callers. */
export const loadSettingsSchema = z.object({
  addresses: z.array(addressSchema).min(1),
  classes: z.array(loadClassSchema).min(1),
  connectionsPerAddress: z.int().positive().default(256),
  durationMilliseconds: z.number().positive(),
  maximumOpenRequests: z.int().positive().default(20_000),
  resends: z.int().min(0).default(3),
  seed: z.int().default(1),
  steps: z.array(loadStepSchema).min(1),
  timeoutMilliseconds: z.number().positive().default(1_000),
});

/** Settings of the callers. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;

/** Outcome of one request, including its resends. */
export type RequestOutcome = {
  readonly attempts: number;
  readonly className: string;
  readonly executed: string | undefined;
  readonly importance: string;
  readonly latencyMilliseconds: number;
  readonly resultNumber: number | undefined;
  readonly startedAtMilliseconds: number;
  readonly status: number | undefined;
};

/** Returns whether a request completed: its last attempt got a 2xx status. */
export function isComplete(outcome: RequestOutcome): boolean {
  return (
    outcome.status !== undefined &&
    outcome.status >= 200 &&
    outcome.status < 300
  );
}
