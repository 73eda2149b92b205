/** Constants of the control subsystem. */

/** Interval of the ticks of a voter. */
export const VOTER_TICK_MILLISECONDS = 50;

/** Interval of the ticks of the record spread on a daemon without a vote. */
export const SPREAD_TICK_MILLISECONDS = 100;

/** Timeout of a request to one daemon. */
export const REQUEST_TIMEOUT_MILLISECONDS = 800;

/** Timeout of a change or a consistent read, over all attempts. */
export const OPERATION_TIMEOUT_MILLISECONDS = 5_000;

/** Delay between two attempts to reach the leader. */
export const LEADER_RETRY_MILLISECONDS = 100;

/** Time for which a voter that did not answer is not asked again, if others are. */
export const AVOID_SILENT_MILLISECONDS = 1_000;

/** Time that a graceful shutdown waits for the leadership transfer. */
export const LEADERSHIP_TRANSFER_TIMEOUT_MILLISECONDS = 1_000;

/** Maximum number of members queried concurrently for their applied revision. */
export const STATUS_CONCURRENCY = 32;

/** Time without an answer after which a status reports a member as unreachable. */
export const STATUS_TIMEOUT_MILLISECONDS = 800;

/** Maximum number of history records in one answer. */
export const MAXIMUM_HISTORY_RECORDS = 500;

/** Name of the file in the data folder that stores the applied records. */
export const APPLIED_FILE_NAME = 'applied';

/** Name of the file in the data folder that stores the names of the initial voters. */
export const INITIAL_VOTERS_FILE_NAME = 'initial-voters';

/** Name of the folder in the data folder that stores the replica. */
export const REPLICA_FOLDER_NAME = 'replica';

/** Interval at which a voter tries to open its storage again after a failure. */
export const STORAGE_RETRY_MILLISECONDS = 1_000;

/** Interval at which a daemon checks whether to ask for a confirmation. */
export const CONFIRMATION_TICK_MILLISECONDS = 100;

/** Interval between the confirmations of a voter, which answers other daemons. */
export const VOTER_CONFIRMATION_MILLISECONDS = 250;

/** Number of first request numbers to choose from at the start of a process. */
export const CONFIRMATION_NUMBERS = 2 ** 40;
