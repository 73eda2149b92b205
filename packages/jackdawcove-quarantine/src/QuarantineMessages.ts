/** Schemas of the messages about crash suspects between daemons. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  MAXIMUM_CRASHES_PER_RECORD,
  MAXIMUM_RECORDS_PER_MESSAGE,
} from './QuarantineConstants.js';

const MAXIMUM_FINGERPRINT_LENGTH = 128;

/** Schema of one crash during which a request was in flight. */
export const crashSchema = z.object({
  instance: nameSchema,
  instanceIncarnation: z.int().nonnegative(),
  /** True once the request completed or an operator released it. */
  isCleared: z.boolean(),
  /** Time until the crash expires; relative, so that no wall clocks are compared. */
  remainingMilliseconds: z.number().nonnegative(),
});

/** Schema of the known crashes of one fingerprint. */
export const suspectRecordSchema = z.object({
  crashes: z.array(crashSchema).max(MAXIMUM_CRASHES_PER_RECORD),
  fingerprint: z.string().min(1).max(MAXIMUM_FINGERPRINT_LENGTH),
  service: nameSchema,
});

/** Schema of a message on the quarantine channel. */
export const quarantineMessageSchema = z.object({
  records: z.array(suspectRecordSchema).max(MAXIMUM_RECORDS_PER_MESSAGE),
});

/** One crash during which a request was in flight. */
export type Crash = z.infer<typeof crashSchema>;

/** Known crashes of one fingerprint. */
export type SuspectRecord = z.infer<typeof suspectRecordSchema>;

/** Message on the quarantine channel. */
export type QuarantineMessage = z.infer<typeof quarantineMessageSchema>;
