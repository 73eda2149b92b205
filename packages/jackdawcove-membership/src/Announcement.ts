/** Announcement of a backend server to the daemon beside it. */

import {addressSchema, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {backendServerStateSchema} from './MembershipRecords.js';

const MAXIMUM_PROCESS_TOKEN_LENGTH = 128;

/** Schema of an announcement, as the body of `PUT /jackdaw/announcement`. */
export const announcementSchema = z.object({
  address: addressSchema,
  connections: z.int().min(1),
  instance: nameSchema,
  processToken: z.string().min(1).max(MAXIMUM_PROCESS_TOKEN_LENGTH),
  /** Rises with each announcement of a process, so that a late one is known. */
  sequence: z.int().min(0).optional(),
  service: nameSchema,
  slots: z.int().min(1),
  /** Unix time in milliseconds at which the process started. */
  startedAt: z.int().min(0).optional(),
  state: backendServerStateSchema.default('ready'),
  /** Time for which the process still runs slowly after its start. */
  warmupMilliseconds: z.number().min(0).optional(),
});

/**
 * Announcement of a backend server. `processToken` is a random text that the
 * process makes at its start; it tells two processes of one instance apart.
 */
export type Announcement = z.infer<typeof announcementSchema>;

/** Schema of the body of `DELETE /jackdaw/announcement`. */
export const withdrawalSchema = announcementSchema.pick({
  instance: true,
  processToken: true,
  service: true,
});

/**
 * Withdrawal of an announcement by the process that made it. What is left out
 * is that of the process which holds the lease.
 */
export type Withdrawal = {
  readonly instance: string;
  readonly processToken?: string | undefined;
  readonly service?: string | undefined;
};

/** Answer to an accepted announcement. */
export type AnnouncementLease = {
  readonly incarnation: number;
  readonly leaseMilliseconds: number;
};
