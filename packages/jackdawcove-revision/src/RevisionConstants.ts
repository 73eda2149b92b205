/** Constants of the configuration state machine and of the record spread. */

/** Maximum number of change outcomes kept to answer resends. */
export const MAXIMUM_KEPT_RESULTS = 4_096;

/** Maximum number of history records kept, without their texts. */
export const MAXIMUM_KEPT_HISTORY = 1_024;

/** Maximum number of configuration texts kept. */
export const MAXIMUM_KEPT_DOCUMENTS = 128;

/** Maximum total characters of the kept texts; the newest is always kept. */
export const MAXIMUM_KEPT_CHARACTERS = 1_048_576;

/** Maximum number of daemons to which one daemon pushes a new record. */
export const PUSH_FAN_OUT = 4;

/** Number of random peers that get a digest in one rumor round. */
export const RUMOR_FAN_OUT = 3;

/** Number of rumor rounds after a new record. */
export const RUMOR_ROUNDS = 4;

/** Delay of the first rumor round after a push, and interval between rounds. */
export const RUMOR_INTERVAL_MILLISECONDS = 250;

/** Interval between two anti-entropy exchanges with a random peer. */
export const ANTI_ENTROPY_INTERVAL_MILLISECONDS = 1_000;

/** Number of peers that a starting daemon queries in one round. */
export const START_UP_PEERS = 8;

/** Number of answers that suffice for a starting daemon. */
export const START_UP_ANSWERS = 3;

/** Interval between two query rounds of a starting daemon. */
export const START_UP_ROUND_INTERVAL_MILLISECONDS = 250;

/** Time after which a starting daemon serves the records that it has. */
export const START_UP_TIMEOUT_MILLISECONDS = 3_000;

/** Interval between two announcements of a replica that does not vote yet. */
export const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500;

/** Time for which the announcement of a replica is valid. */
export const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 5_000;

/**
 * With at least this many availability zones, none may hold a majority of the
 * voters; with fewer, one of them always does.
 */
export const MINIMUM_ZONES_FOR_MAJORITY_RULE = 3;

/** Interval at which a leader plans which daemons vote. */
export const PLACEMENT_INTERVAL_MILLISECONDS = 250;

/** A voter that has not answered the leader for this long counts as silent. */
export const SILENT_VOTER_MILLISECONDS = 1_000;

/** Silence after which a voter is replaced if all other voters answer. */
export const LOST_VOTER_MILLISECONDS = 2_000;

/** Silence after which a voter is replaced if other voters are silent as well. */
export const LOST_VOTERS_MILLISECONDS = 5_000;

/** Longest time for which a new leader holds back changes to gain more voters. */
export const VOTER_GROWTH_TIMEOUT_MILLISECONDS = 3_000;

/** Number of applied entries after which a voter takes a snapshot. */
export const ENTRIES_PER_SNAPSHOT = 128;
