/** Constants of the configuration state machine and its spread. */

/** Results of changes that are kept for resends. */
export const MAXIMUM_KEPT_RESULTS = 4_096;

/** Records of the history that are kept, without their texts. */
export const MAXIMUM_KEPT_HISTORY = 1_024;

/** Texts of older configurations that are kept. */
export const MAXIMUM_KEPT_DOCUMENTS = 128;

/** Characters of older configurations that are kept. */
export const MAXIMUM_KEPT_CHARACTERS = 1_048_576;

/** Daemons that one daemon pushes a new record to. */
export const PUSH_FAN_OUT = 4;

/** Random peers that hear of a new record in one round of rumors. */
export const RUMOR_FAN_OUT = 3;

/** Rounds of rumors about a new record. */
export const RUMOR_ROUNDS = 4;

/** Time between a push and its first rumors, and between two rounds. */
export const RUMOR_INTERVAL_MILLISECONDS = 250;

/** Time between two comparisons with a random peer. */
export const ANTI_ENTROPY_INTERVAL_MILLISECONDS = 1_000;

/** Peers that a starting daemon asks in one round. */
export const START_UP_PEERS = 8;

/** Answers after which a starting daemon stops waiting for more. */
export const START_UP_ANSWERS = 3;

/** Time between two rounds of questions of a starting daemon. */
export const START_UP_ROUND_INTERVAL_MILLISECONDS = 250;

/** Time after which a starting daemon serves what it has. */
export const START_UP_TIMEOUT_MILLISECONDS = 3_000;

/** Time between two announcements of a replica that does not vote yet. */
export const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 500;

/** Time for which the announcement of a replica counts. */
export const ANNOUNCEMENT_LIFETIME_MILLISECONDS = 5_000;

/** Applied entries after which a voter takes a snapshot. */
export const ENTRIES_PER_SNAPSHOT = 128;
