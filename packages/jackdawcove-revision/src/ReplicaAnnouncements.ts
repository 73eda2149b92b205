/** Replicas that daemons have announced, and the start of a first replica set. */

import type {Replica, ReplicaSet} from 'jackdawcove-consensus';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {replicaSchema} from 'jackdawcove-consensus';
import {z} from 'zod';

import {ALLOWED_VOTER_COUNTS} from './ConfigurationChange.js';
import {ANNOUNCEMENT_LIFETIME_MILLISECONDS} from './RevisionConstants.js';

/** Schema of the announcement of a replica that is ready to vote. */
export const replicaAnnouncementSchema = z.object({
  /** Whether the replica holds neither a log nor a vote. */
  isFresh: z.boolean(),
  replica: replicaSchema,
});

/** Announcement of a replica that is ready to vote. */
export type ReplicaAnnouncement = z.infer<typeof replicaAnnouncementSchema>;

/** What the start of a first replica set looks at. */
export type BootstrapInput = {
  readonly initialVoters: readonly DaemonName[];
  /** Voters that the fleet knows of, if it has had any. */
  readonly knownVoters: readonly DaemonName[];
  readonly own: DaemonName;
};

type ReceivedAnnouncement = {
  readonly announcement: ReplicaAnnouncement;
  readonly receivedAt: Milliseconds;
};

/**
 * Announcements of the last seconds.
 *
 * @example
 * announcements.record({isFresh: true, replica}, now);
 * announcements.getReplica(replica.daemon, now); // replica
 */
export class ReplicaAnnouncements {
  readonly #received = new Map<DaemonName, ReceivedAnnouncement>();

  /** Takes an announcement; the newest of a daemon counts. */
  record(announcement: ReplicaAnnouncement, now: Milliseconds): void {
    const {daemon} = announcement.replica;
    this.#received.set(daemon, {announcement, receivedAt: now});
  }

  /** Returns the replica that a daemon runs now. */
  getReplica(daemon: DaemonName, now: Milliseconds): Replica | undefined {
    return this.#getRecent(daemon, now)?.replica;
  }

  /**
   * Returns the first replica set when this daemon is the one to start it: the
   * first by name of the initial voters, which all run fresh replicas. Voters of
   * an earlier set must be among them, so that none of it is left.
   */
  planBootstrap(
    input: BootstrapInput,
    now: Milliseconds,
  ): ReplicaSet | undefined {
    const names = [...new Set(input.initialVoters)].sort();
    const isBootstrapDaemon = names[0] === input.own;
    const isAllowed = ALLOWED_VOTER_COUNTS.includes(names.length);
    const includesKnownVoters = input.knownVoters.every((name) =>
      names.includes(name),
    );
    const fresh = names
      .flatMap((name) => this.#getRecent(name, now) ?? [])
      .filter(({isFresh}) => isFresh);
    return isBootstrapDaemon &&
      isAllowed &&
      includesKnownVoters &&
      fresh.length === names.length
      ? {learners: [], voters: fresh.map(({replica}) => replica)}
      : undefined;
  }

  #getRecent(
    daemon: DaemonName,
    now: Milliseconds,
  ): ReplicaAnnouncement | undefined {
    const received = this.#received.get(daemon);
    const isRecent =
      received !== undefined &&
      now - received.receivedAt <= ANNOUNCEMENT_LIFETIME_MILLISECONDS;
    return isRecent ? received.announcement : undefined;
  }
}
