/** Timeline events and their filters. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {stampSchema} from './HybridLogicalClock.js';

const MAXIMUM_KIND_LENGTH = 64;
const MAXIMUM_FIELD_LENGTH = 1_024;
const MAXIMUM_CALL_LENGTH = 256;

/** Schema of a field value. */
const fieldValueSchema = z.union([
  z.boolean(),
  z.number(),
  z.string().max(MAXIMUM_FIELD_LENGTH),
]);

/**
 * Schema of an event. The kind can be any name, so that timelines of daemons of
 * other versions can be read.
 */
export const timelineEventSchema = z.object({
  availabilityZone: nameSchema,
  call: z.string().max(MAXIMUM_CALL_LENGTH).optional(),
  fields: z.record(z.string(), fieldValueSchema),
  kind: z.string().min(1).max(MAXIMUM_KIND_LENGTH),
  stamp: stampSchema,
  vm: nameSchema,
});

/** Event on the timeline of one daemon. */
export type TimelineEvent = Readonly<z.infer<typeof timelineEventSchema>>;

/** Schema of a filter. An omitted field matches every event. */
export const timelineFilterSchema = z.object({
  call: z.string().max(MAXIMUM_CALL_LENGTH).optional(),
  kind: z.string().max(MAXIMUM_KIND_LENGTH).optional(),
  /** Wall-clock time in milliseconds. Earlier events do not match. */
  since: z.number().min(0).optional(),
  vm: nameSchema.optional(),
});

/** Filter of events. */
export type TimelineFilter = Readonly<z.infer<typeof timelineFilterSchema>>;

/**
 * Returns whether an event matches a filter.
 *
 * @example
 * events.filter((event) => matchesFilter(event, {kind: 'becameLeader'}));
 */
export function matchesFilter(
  event: TimelineEvent,
  filter: TimelineFilter,
): boolean {
  const {call, kind, since = 0, vm} = filter;
  return (
    (call === undefined || event.call === call) &&
    (kind === undefined || event.kind === kind) &&
    (vm === undefined || event.vm === vm) &&
    event.stamp.wallMilliseconds >= since
  );
}

/** Maximum lengths of strings in events. */
export const EVENT_LIMITS = {
  callLength: MAXIMUM_CALL_LENGTH,
  fieldLength: MAXIMUM_FIELD_LENGTH,
} as const;
