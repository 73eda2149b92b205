/** Plausibility of announcements by the clock of the daemon. */

import type {Announcement} from './Announcement.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {SEQUENCE_ALLOWANCE} from './MembershipConstants.js';

/** What the daemon knows about the present. */
export type PlausibilityInput = {
  readonly maximumSkewMilliseconds: Milliseconds;
  /** Unix time of the daemon, in milliseconds. */
  readonly wallTime: Milliseconds;
};

/**
 * Returns what cannot be true in an announcement or a withdrawal, or undefined:
 * a start in the future, or more announcements than the process had time for.
 *
 * @example
 * findAnnouncementFault(announcement, {maximumSkewMilliseconds: 5_000, wallTime});
 */
export function findAnnouncementFault(
  {sequence, startedAt}: Pick<Announcement, 'sequence' | 'startedAt'>,
  {maximumSkewMilliseconds, wallTime}: PlausibilityInput,
): string | undefined {
  if (startedAt === undefined) {
    return undefined;
  }
  const maximumAge = wallTime + maximumSkewMilliseconds - startedAt;
  if (maximumAge < 0) {
    return 'startedAt: is in the future';
  }
  return (sequence ?? 0) > maximumAge + SEQUENCE_ALLOWANCE
    ? 'sequence: is too large for the age of the process'
    : undefined;
}
