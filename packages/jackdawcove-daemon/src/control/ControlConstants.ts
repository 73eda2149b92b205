/** Constants of the control wiring. */

/** Time between two ticks of the replica and of the spread. */
export const CONTROL_TICK_MILLISECONDS = 50;

/** Time after which a request to one daemon counts as unanswered. */
export const REQUEST_TIMEOUT_MILLISECONDS = 800;

/** Time after which a change or a consistent read gives up. */
export const OPERATION_TIMEOUT_MILLISECONDS = 5_000;

/** Time between two attempts to find the leader. */
export const LEADER_RETRY_MILLISECONDS = 100;

/** Time that a planned stop waits for another leader. */
export const LEADERSHIP_TRANSFER_TIMEOUT_MILLISECONDS = 1_000;

/** Members that are asked at the same time for their applied revision. */
export const STATUS_CONCURRENCY = 32;

/** Time after which a member counts as unreachable in a status. */
export const STATUS_TIMEOUT_MILLISECONDS = 800;

/** Records of the history in one answer. */
export const MAXIMUM_HISTORY_RECORDS = 500;

/** Availability zones from which on none may hold a majority of the voters. */
export const MINIMUM_ZONES_FOR_MAJORITY_CHECK = 3;

/** Name of the file with the applied records in the data folder. */
export const APPLIED_FILE_NAME = 'applied';

/** Name of the folder of the replica in the data folder. */
export const REPLICA_FOLDER_NAME = 'replica';
