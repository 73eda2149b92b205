/** Settings, commands and recorded executions of stand-in backend servers. */

import {addressSchema, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Schema of one call that a stand-in makes while it serves a request. */
export const standInChildSchema = z.object({
  method: z.string().default('GET'),
  path: z.string(),
  service: nameSchema,
});

/** Schema of the settings of one stand-in backend server. */
export const standInSettingsSchema = z.object({
  announcePeriodMilliseconds: z.int().positive().default(1_000),
  answerBytes: z.int().min(0).default(256),
  children: z.array(standInChildSchema).default([]),
  coldStartFactor: z.number().min(1).default(1),
  coldStartMilliseconds: z.int().min(0).default(0),
  connections: z.int().positive(),
  instance: nameSchema,
  localDaemon: addressSchema,
  service: nameSchema,
  serviceMilliseconds: z.number().min(0),
  slots: z.int().positive(),
});

/** Settings of one stand-in backend server. */
export type StandInSettings = z.infer<typeof standInSettingsSchema>;

/** Schema of a command to a running stand-in backend server. */
export const standInCommandSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('drain')}),
  z.object({kind: z.literal('setCrashMarker'), marker: z.string()}),
  z.object({kind: z.literal('setServiceTime'), milliseconds: z.number()}),
  z.object({kind: z.literal('stop')}),
]);

/** Command to a running stand-in backend server. */
export type StandInCommand = z.infer<typeof standInCommandSchema>;

/** Execution of one request by a stand-in backend server. */
export type StandInExecution = {
  readonly idempotencyKey: string | undefined;
  readonly method: string;
  readonly outcome: 'aborted' | 'completed' | 'crashed' | 'running';
  readonly path: string;
  readonly requestMarker: string | undefined;
};
