/** Merging of the timelines of several daemons. */

import type {TimelineEvent} from './TimelineEvent.js';

import {compareStamps} from './HybridLogicalClock.js';

/**
 * Compares two events by stamp, then by VM.
 *
 * @example
 * events.toSorted(compareEvents);
 */
export function compareEvents(
  left: TimelineEvent,
  right: TimelineEvent,
): number {
  const order = compareStamps(left.stamp, right.stamp);
  if (order !== 0 || left.vm === right.vm) {
    return order;
  }
  return left.vm < right.vm ? -1 : 1;
}

function isSameEvent(left: TimelineEvent, right: TimelineEvent): boolean {
  return left.vm === right.vm && compareStamps(left.stamp, right.stamp) === 0;
}

/**
 * Merges timelines into one that is sorted by time. An event that several
 * timelines contain occurs once.
 *
 * @example
 * mergeTimelines([eventsOfFirstDaemon, eventsOfSecondDaemon]);
 */
export function mergeTimelines(
  timelines: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  const events = timelines.flat().sort(compareEvents);
  return events.filter((event, index) => {
    const previous = events[index - 1];
    return previous === undefined || !isSameEvent(previous, event);
  });
}
