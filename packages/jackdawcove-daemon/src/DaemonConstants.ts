/** Constants of the daemon. */

/** Version that the daemon reports. */
export const DAEMON_VERSION = '0.1.0';

/** Interval at which a stop looks whether all calls have ended. */
export const STOP_POLL_MILLISECONDS = 20;

/** Time that a stop waits for its ledger records to be handed on. */
export const HANDOVER_TIMEOUT_MILLISECONDS = 3_000;

/** Time that the last messages get to leave before the sessions close. */
export const LEAVE_DELAY_MILLISECONDS = 100;

/** Interval at which the daemon looks whether it may take calls. */
export const READY_POLL_MILLISECONDS = 20;
