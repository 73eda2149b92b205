/** Queries the timelines of all daemons of the fleet. */

import type {MissingDaemon, TimelineAnswer} from './AdministrationSchemas.js';
import type {DaemonRecord} from 'jackdawcove-membership';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';
import type {Stamp, TimelineEvent, TimelineFilter} from 'jackdawcove-timeline';

import {
  mergeTimelines,
  stampSchema,
  timelineEventSchema,
  timelineFilterSchema,
} from 'jackdawcove-timeline';
import {match} from 'ts-pattern';
import {z} from 'zod';

import {
  FLEET_QUERY_TIMEOUT_MILLISECONDS,
  MAXIMUM_DAEMON_EVENTS,
  MAXIMUM_FLEET_EVENTS,
  MINIMUM_DAEMON_EVENTS,
} from './AdministrationConstants.js';

const MAXIMUM_IDENTIFIER_LENGTH = 64;
const identifierSchema = z.string().max(MAXIMUM_IDENTIFIER_LENGTH);

/** Schema of the messages on the administration channel. */
export const administrationMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    filter: timelineFilterSchema,
    identifier: identifierSchema,
    kind: z.literal('timelineQuery'),
    limit: z.int().min(1).max(MAXIMUM_DAEMON_EVENTS),
    stamp: stampSchema,
  }),
  z.object({
    dropped: z.int().min(0),
    events: z.array(timelineEventSchema).max(MAXIMUM_DAEMON_EVENTS),
    identifier: identifierSchema,
    isTruncated: z.boolean(),
    kind: z.literal('timelineAnswer'),
    stamp: stampSchema,
  }),
]);

/** Message on the administration channel. */
export type AdministrationMessage = z.infer<typeof administrationMessageSchema>;

type QueryMessage = Extract<AdministrationMessage, {kind: 'timelineQuery'}>;
type AnswerMessage = Extract<AdministrationMessage, {kind: 'timelineAnswer'}>;

/** Timeline of this daemon. */
export type LocalTimeline = {
  getDropped(): number;
  getEvents(filter: TimelineFilter): readonly TimelineEvent[];
  getStamp(): Stamp;
  observe(stamp: Stamp): void;
};

/** Options of the fleet timeline. */
export type FleetTimelineOptions = {
  readonly clock: () => Milliseconds;
  readonly createIdentifier: () => string;
  readonly daemon: DaemonName;
  readonly getMembers: () => readonly DaemonRecord[];
  readonly send: (to: DaemonName, message: AdministrationMessage) => void;
  readonly timeline: LocalTimeline;
};

type OpenQuery = {
  readonly answers: Map<DaemonName, AnswerMessage>;
  readonly deadline: Milliseconds;
  readonly resolve: (answer: TimelineAnswer) => void;
  readonly missing: MissingDaemon[];
  readonly pendingDaemons: Set<DaemonName>;
};

function getEventLimit(memberCount: number): number {
  const share = Math.floor(MAXIMUM_FLEET_EVENTS / Math.max(1, memberCount));
  return Math.min(
    MAXIMUM_DAEMON_EVENTS,
    Math.max(MINIMUM_DAEMON_EVENTS, share),
  );
}

/** Queries the reachable daemons and merges their answers. */
export class FleetTimeline {
  readonly #openQueries = new Map<string, OpenQuery>();
  readonly #options: FleetTimelineOptions;

  constructor(options: FleetTimelineOptions) {
    this.#options = options;
  }

  /**
   * Collects the events of the whole fleet that match a filter. Resolves once every
   * queried daemon has answered or timed out.
   *
   * @example
   * const {events, missing} = await fleetTimeline.query({kind: 'quarantined'});
   */
  query(filter: TimelineFilter): Promise<TimelineAnswer> {
    const {clock, createIdentifier, daemon, timeline} = this.#options;
    const members = this.#getQueriedMembers(filter);
    const identifier = createIdentifier();
    const stamp = timeline.getStamp();
    const limit = getEventLimit(members.length);
    const message: QueryMessage = {
      filter,
      identifier,
      kind: 'timelineQuery',
      limit,
      stamp,
    };
    return new Promise((resolve) => {
      const query: OpenQuery = {
        answers: new Map([[daemon, this.#createAnswer(message)]]),
        deadline: clock() + FLEET_QUERY_TIMEOUT_MILLISECONDS,
        missing: [],
        pendingDaemons: new Set(),
        resolve,
      };
      this.#openQueries.set(identifier, query);
      this.#queryMembers(query, members, message);
      this.#finishWhenAnswered(identifier, query);
    });
  }

  /**
   * Handles a message from another daemon.
   *
   * @example
   * fleetTimeline.receive(message, source.daemon);
   */
  receive(message: AdministrationMessage, source: DaemonName): void {
    this.#options.timeline.observe(message.stamp);
    match(message)
      .with({kind: 'timelineQuery'}, (query) => {
        this.#options.send(source, this.#createAnswer(query));
      })
      .with({kind: 'timelineAnswer'}, (answer) => {
        this.#handleAnswer(answer, source);
      })
      .exhaustive();
  }

  /** Finishes the queries that have timed out. */
  tick(): void {
    const now = this.#options.clock();
    for (const [identifier, query] of this.#openQueries) {
      if (now >= query.deadline) {
        for (const daemon of query.pendingDaemons) {
          query.missing.push({daemon, reason: 'noAnswer'});
        }
        query.pendingDaemons.clear();
        this.#finishWhenAnswered(identifier, query);
      }
    }
  }

  #getQueriedMembers({vm}: TimelineFilter): DaemonRecord[] {
    const {daemon, getMembers} = this.#options;
    return getMembers().filter(
      ({name, state}) =>
        name !== daemon &&
        state !== 'left' &&
        (vm === undefined || vm === name),
    );
  }

  #queryMembers(
    query: OpenQuery,
    members: readonly DaemonRecord[],
    message: QueryMessage,
  ): void {
    for (const {name, state} of members) {
      if (state === 'unreachable') {
        query.missing.push({daemon: name, reason: 'unreachable'});
      } else {
        query.pendingDaemons.add(name);
        this.#options.send(name, message);
      }
    }
  }

  #createAnswer({filter, identifier, limit}: QueryMessage): AnswerMessage {
    const {timeline} = this.#options;
    const events = timeline.getEvents(filter);
    return {
      dropped: timeline.getDropped(),
      events: events.slice(-limit),
      identifier,
      isTruncated: events.length > limit,
      kind: 'timelineAnswer',
      stamp: timeline.getStamp(),
    };
  }

  #handleAnswer(answer: AnswerMessage, source: DaemonName): void {
    const query = this.#openQueries.get(answer.identifier);
    if (query?.pendingDaemons.delete(source) !== true) {
      return;
    }
    query.answers.set(source, answer);
    this.#finishWhenAnswered(answer.identifier, query);
  }

  #finishWhenAnswered(identifier: string, query: OpenQuery): void {
    if (
      query.pendingDaemons.size > 0 ||
      !this.#openQueries.delete(identifier)
    ) {
      return;
    }
    const answers = [...query.answers.values()];
    query.resolve({
      answered: [...query.answers.keys()].sort(),
      dropped: answers.reduce((sum, {dropped}) => sum + dropped, 0),
      events: mergeTimelines(answers.map(({events}) => events)),
      isTruncated: answers.some(({isTruncated}) => isTruncated),
      missing: query.missing,
    });
  }
}
