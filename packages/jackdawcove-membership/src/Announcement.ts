/** Announcement of a backend server to the daemon on its machine. */

import type {Milliseconds} from 'jackdawcove-shared';

import {addressSchema, MAXIMUM_SLOTS, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {backendServerStateSchema} from './MembershipRecords.js';

const MAXIMUM_PROCESS_TOKEN_LENGTH = 128;
const slotsSchema = z.int().min(1).max(MAXIMUM_SLOTS);

/** Schema of the body of `PUT /jackdaw/announcement`. */
export const announcementSchema = z.object({
  address: addressSchema,
  connections: slotsSchema,
  instance: nameSchema,
  processToken: z.string().min(1).max(MAXIMUM_PROCESS_TOKEN_LENGTH),
  /** Grows with each announcement of a process, to detect delayed ones. */
  sequence: z.int().min(0).optional(),
  service: nameSchema,
  slots: slotsSchema,
  /** Unix time in milliseconds at which the process started. */
  startedAt: z.int().min(0).optional(),
  state: backendServerStateSchema.default('ready'),
  /** Time during which the process runs at reduced speed after its start. */
  warmupMilliseconds: z.number().min(0).optional(),
});

/**
 * Announcement of a backend server. `processToken` is a random string that the
 * process generates at startup; it distinguishes two processes of one instance.
 */
export type Announcement = z.infer<typeof announcementSchema>;

/** Schema of the body of `DELETE /jackdaw/announcement`. */
export const withdrawalSchema = announcementSchema.pick({
  instance: true,
  processToken: true,
  service: true,
});

/**
 * Withdrawal of an announcement by the process that sent it. Omitted fields
 * default to those of the process that holds the lease.
 */
export type Withdrawal = {
  readonly instance: string;
  readonly processToken?: string | undefined;
  readonly service?: string | undefined;
  /** Unix time in milliseconds at which the process started. */
  readonly startedAt?: Milliseconds | undefined;
};

/** Lease that is granted for an accepted announcement. */
export type AnnouncementLease = {
  readonly incarnation: number;
  readonly leaseMilliseconds: number;
};
