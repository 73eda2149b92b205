/** Constants of the daemon. */

/** Version that the daemon reports. */
export const DAEMON_VERSION = '0.1.0';

/** Interval at which a shutdown checks whether all calls have ended. */
export const STOP_POLL_MILLISECONDS = 20;

/** Longest wait of a shutdown until the ledger records are handed over. */
export const HANDOVER_TIMEOUT_MILLISECONDS = 3_000;

/** Delay that lets the last messages be sent before the sessions close. */
export const LEAVE_DELAY_MILLISECONDS = 100;

/** Interval at which a starting daemon checks whether it may accept calls. */
export const READY_POLL_MILLISECONDS = 20;
