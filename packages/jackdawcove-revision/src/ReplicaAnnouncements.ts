/** Replicas announced by daemons, and the bootstrap of the first replica set. */

import type {Replica, ReplicaSet} from 'jackdawcove-consensus';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {replicaSchema} from 'jackdawcove-consensus';
import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {ALLOWED_VOTER_COUNTS} from './ConfigurationChange.js';
import {ANNOUNCEMENT_LIFETIME_MILLISECONDS} from './RevisionConstants.js';

/** Schema of the announcement of a replica that is ready to vote. */
export const replicaAnnouncementSchema = z.object({
  /** Initial voters that a fresh replica knows; absent in earlier versions. */
  initialVoters: z.array(nameSchema).optional(),
  /** Whether the replica has neither log entries nor a vote. */
  isFresh: z.boolean(),
  replica: replicaSchema,
});

/** Announcement of a replica that is ready to vote. */
export type ReplicaAnnouncement = z.infer<typeof replicaAnnouncementSchema>;

/** Input for the bootstrap of the first replica set. */
export type BootstrapInput = {
  readonly initialVoters: readonly DaemonName[];
  /** Voters of the last replica set known to the fleet; empty if there was none. */
  readonly knownVoters: readonly DaemonName[];
  readonly localDaemon: DaemonName;
};

type ReceivedAnnouncement = {
  readonly announcement: ReplicaAnnouncement;
  readonly receivedAt: Milliseconds;
};

/**
 * Most recent announcement of each daemon.
 *
 * @example
 * announcements.record({isFresh: true, replica}, now);
 * announcements.getReplica(replica.daemon, now); // replica
 */
export class ReplicaAnnouncements {
  readonly #received = new Map<DaemonName, ReceivedAnnouncement>();

  /** Records an announcement; it replaces an earlier one of the same daemon. */
  record(announcement: ReplicaAnnouncement, now: Milliseconds): void {
    const {daemon} = announcement.replica;
    this.#received.set(daemon, {announcement, receivedAt: now});
  }

  /** Returns the replica that a daemon runs, if it was announced recently. */
  getReplica(daemon: DaemonName, now: Milliseconds): Replica | undefined {
    return this.#getRecent(daemon, now)?.replica;
  }

  /**
   * Returns the first replica set if this daemon has to bootstrap it: the daemon is
   * the first initial voter by name, and all initial voters run fresh replicas.
   * Voters of an earlier set must be among them, so that no voter of it remains.
   */
  planBootstrap(
    input: BootstrapInput,
    now: Milliseconds,
  ): ReplicaSet | undefined {
    const names = [...new Set(input.initialVoters)].sort();
    const isBootstrapDaemon = names[0] === input.localDaemon;
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
