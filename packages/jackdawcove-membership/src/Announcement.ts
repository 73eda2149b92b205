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
  service: nameSchema,
  slots: z.int().min(1),
  state: backendServerStateSchema.default('ready'),
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

/** Withdrawal of an announcement by the process that made it. */
export type Withdrawal = z.infer<typeof withdrawalSchema>;

/** Answer to an accepted announcement. */
export type AnnouncementLease = {
  readonly incarnation: number;
  readonly leaseMilliseconds: number;
};
