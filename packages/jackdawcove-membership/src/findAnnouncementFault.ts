/** Plausibility of announcements by the clock of the daemon. */

import type {Announcement} from './Announcement.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {SEQUENCES_PER_MILLISECOND} from './MembershipConstants.js';

/** What the daemon knows about the present. */
export type PlausibilityInput = {
  readonly maximumSkewMilliseconds: Milliseconds;
  /** Unix time of the daemon, in milliseconds. */
  readonly wallTime: Milliseconds;
};

/**
 * Returns what cannot be true in an announcement or a withdrawal, or undefined: a start
 * in the future, or a sequence number that neither a count nor a clock has reached.
 *
 * @example
 * findAnnouncementFault(announcement, {maximumSkewMilliseconds: 5_000, wallTime});
 */
export function findAnnouncementFault(
  {sequence = 0, startedAt = 0}: Pick<Announcement, 'sequence' | 'startedAt'>,
  {maximumSkewMilliseconds, wallTime}: PlausibilityInput,
): string | undefined {
  const latest = wallTime + maximumSkewMilliseconds;
  if (startedAt > latest) {
    return 'startedAt: is in the future';
  }
  return sequence > latest * SEQUENCES_PER_MILLISECOND
    ? 'sequence: no count and no clock is that far'
    : undefined;
}
