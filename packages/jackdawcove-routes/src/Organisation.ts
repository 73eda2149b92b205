/** Schema of organisations, which own the requests that carry their keys. */

import {importanceSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** Visible ASCII, spaces inside: the name is sent to instances in a header. */
const ORGANISATION_NAME_PATTERN = /^[!-~]([ -~]*[!-~])?$/;

/** Schema of an organisation. */
export const organisationSchema = z.object({
  /** Requests that may exceed the rate for a moment. */
  burst: z.number().optional(),
  /** Takes precedence over the importance of routes. */
  importance: importanceSchema.optional(),
  keys: z.array(z.string()),
  name: z.string().regex(ORGANISATION_NAME_PATTERN),
  /** Requests per second, summed over the fleet; absent means no limit. */
  requestsPerSecond: z.number().optional(),
});

/** An organisation that sends requests with keys of its own. */
export type Organisation = z.infer<typeof organisationSchema>;

/** Returns whether instances can be sent the name in a header. */
export function isOrganisationName(name: string): boolean {
  return ORGANISATION_NAME_PATTERN.test(name);
}
