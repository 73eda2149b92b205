/** Timeline of one daemon. */

import type {EventKind} from './EventKinds.js';
import type {Stamp} from './HybridLogicalClock.js';
import type {TimelineEvent, TimelineFilter} from './TimelineEvent.js';
import type {
  AvailabilityZoneName,
  DaemonName,
  Milliseconds,
} from 'jackdawcove-shared';

import {getEventScope} from './EventKinds.js';
import {EventRing} from './EventRing.js';
import {advanceStamp, FIRST_STAMP, receiveStamp} from './HybridLogicalClock.js';
import {mergeTimelines} from './mergeTimelines.js';
import {EVENT_LIMITS, matchesFilter} from './TimelineEvent.js';

/** Identity and capacity of a timeline. */
export type TimelineOptions = {
  readonly availabilityZone: AvailabilityZoneName;
  /** Number of retained events: half about calls, half about the fleet. */
  readonly capacity: number;
  readonly vm: DaemonName;
};

/** Fields of an event to record. The field `call` is the call identifier. */
export type RecordedFields = Readonly<
  Record<string, boolean | number | string | undefined>
>;

const CALL_FIELD = 'call';

function createFields(fields: RecordedFields): TimelineEvent['fields'] {
  const kept: Record<string, boolean | number | string> = {};
  for (const [key, value] of Object.entries(fields)) {
    if (key !== CALL_FIELD && value !== undefined) {
      kept[key] =
        typeof value === 'string'
          ? value.slice(0, EVENT_LIMITS.fieldLength)
          : value;
    }
  }
  return kept;
}

/** Bounded timeline of one daemon, ordered by a hybrid logical clock. */
export class Timeline {
  readonly #availabilityZone: AvailabilityZoneName;
  readonly #callRing: EventRing;
  readonly #fleetRing: EventRing;
  #stamp: Stamp = FIRST_STAMP;
  readonly #vm: DaemonName;

  constructor(options: TimelineOptions) {
    const callCapacity = Math.ceil(options.capacity / 2);
    this.#availabilityZone = options.availabilityZone;
    this.#callRing = new EventRing(callCapacity);
    this.#fleetRing = new EventRing(options.capacity - callCapacity);
    this.#vm = options.vm;
  }

  /**
   * Records an event.
   *
   * @example
   * timeline.record('becameLeader', {term: 7}, wallClock());
   */
  record(
    kind: EventKind | (string & {}),
    fields: RecordedFields,
    wallNow: Milliseconds,
  ): void {
    this.#stamp = advanceStamp(this.#stamp, wallNow);
    const call = fields[CALL_FIELD];
    const event: TimelineEvent = {
      availabilityZone: this.#availabilityZone,
      fields: createFields(fields),
      kind,
      stamp: this.#stamp,
      vm: this.#vm,
      ...(call === undefined
        ? {}
        : {call: String(call).slice(0, EVENT_LIMITS.callLength)}),
    };
    const ring =
      getEventScope(kind) === 'call' ? this.#callRing : this.#fleetRing;
    ring.add(event);
  }

  /**
   * Advances the clock past the stamp of a received message, so that later
   * local events follow the events that the sender recorded before sending.
   *
   * @example
   * timeline.observe(message.stamp, wallClock());
   */
  observe(received: Stamp, wallNow: Milliseconds): void {
    this.#stamp = receiveStamp(this.#stamp, received, wallNow);
  }

  /** Returns the number of events dropped because a ring was full. */
  getDropped(): number {
    return this.#callRing.getDropped() + this.#fleetRing.getDropped();
  }

  /**
   * Returns the events that match a filter, sorted by time.
   *
   * @example
   * timeline.getEvents({kind: 'quarantineReleased'});
   */
  getEvents(filter: TimelineFilter = {}): TimelineEvent[] {
    const rings = [this.#callRing.getEvents(), this.#fleetRing.getEvents()];
    return mergeTimelines(
      rings.map((ring) => ring.filter((event) => matchesFilter(event, filter))),
    );
  }

  /** Returns the last stamp, which messages to other daemons carry. */
  getStamp(): Stamp {
    return this.#stamp;
  }
}
