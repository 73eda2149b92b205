export type {EventKind, EventScope} from './EventKinds.js';
export type {Stamp} from './HybridLogicalClock.js';
export type {RecordedFields, TimelineOptions} from './Timeline.js';
export type {TimelineEvent, TimelineFilter} from './TimelineEvent.js';

export {EVENT_KINDS, getEventScope} from './EventKinds.js';
export {
  advanceStamp,
  compareStamps,
  FIRST_STAMP,
  formatStamp,
  MAXIMUM_DRIFT_MILLISECONDS,
  receiveStamp,
  stampSchema,
} from './HybridLogicalClock.js';
export {compareEvents, mergeTimelines} from './mergeTimelines.js';
export {Timeline} from './Timeline.js';
export {
  matchesFilter,
  timelineEventSchema,
  timelineFilterSchema,
} from './TimelineEvent.js';
