/** Messages to the process of a metered daemon. */

import {z} from 'zod';

/** Schema of a message to a metered daemon, which replies with its traffic. */
export const meteredDaemonMessageSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('readTraffic')}),
  z.object({kind: z.literal('start'), settingsText: z.string()}),
]);

/** A message to a metered daemon. */
export type MeteredDaemonMessage = z.infer<typeof meteredDaemonMessageSchema>;
