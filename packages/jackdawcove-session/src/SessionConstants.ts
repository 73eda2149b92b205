/** Constants of the session package. */

import type {SessionLimits, SessionSwitches} from './SessionTypes.js';

/** Version of the protocol between daemons. */
export const PROTOCOL_VERSION = 1;

/** Size of the fixed header of a frame, in bytes. */
export const FRAME_HEADER_BYTES = 16;

/** Size of a handshake nonce, in bytes. */
export const NONCE_BYTES = 32;

/** Maximum size of a frame before the peer is authenticated, in bytes. */
export const MAXIMUM_HANDSHAKE_FRAME_BYTES = 4_096;

/** Maximum size of the body in one frame, in bytes. */
export const MAXIMUM_BODY_CHUNK_BYTES = 65_536;

/** Bytes that a session writes to its socket before it waits for a drain. */
export const SOCKET_HIGH_WATER_BYTES = 262_144;

/** Received bytes after which an acknowledgement is sent without a ping. */
export const ACKNOWLEDGE_THRESHOLD_BYTES = 65_536;

/** Interval of the pool's timer, in milliseconds. */
export const TICK_INTERVAL_MILLISECONDS = 100;

/** Interval between checks for idle sessions, in milliseconds. */
export const IDLE_CHECK_INTERVAL_MILLISECONDS = 1_000;

/**
 * Maximum time that one tick adds to the silence of a session, in milliseconds.
 * A longer step means that this process was paused.
 */
export const MAXIMUM_SILENCE_STEP_MILLISECONDS = 300;

/** Timeout of a query about a lost attempt, in milliseconds. */
export const RESOLUTION_TIMEOUT_MILLISECONDS = 3_000;

/** Maximum size of a datagram, in bytes. */
export const MAXIMUM_DATAGRAM_BYTES = 1_400;

/** Maximum size of a frame between authenticated peers, in bytes. */
export const MAXIMUM_FRAME_BYTES = 1_048_576;

/** Default limits of sessions. */
export const DEFAULT_LIMITS: SessionLimits = {
  connectTimeoutMilliseconds: 1_000,
  heldAnswerBytes: 33_554_432,
  heldAnswerCount: 4_096,
  heldAnswerMilliseconds: 10_000,
  idleCloseMilliseconds: 60_000,
  keepaliveIntervalMilliseconds: 400,
  keepaliveTimeoutMilliseconds: 1_200,
  maximumCallsPerSession: 4_096,
  maximumFrameBytes: MAXIMUM_FRAME_BYTES,
  maximumSessionBufferedBytes: 33_554_432,
  reconnectMaximumMilliseconds: 2_000,
  reconnectMinimumMilliseconds: 50,
  streamWindowBytes: 262_144,
};

/** Default switches: every check is enabled. */
export const DEFAULT_SWITCHES: SessionSwitches = {
  checksBinding: true,
  checksBodies: true,
  checksKeepalive: true,
  fencesAttempts: true,
};

/** Retention of the record of a settled attempt, in milliseconds. */
export const ATTEMPT_RETENTION_MILLISECONDS = 30_000;

/** Maximum number of records of settled attempts. */
export const MAXIMUM_ATTEMPT_RECORDS = 65_536;

/** Assumed maximum transit of a query about an attempt, in milliseconds. */
export const MAXIMUM_RESOLVE_TRANSIT_MILLISECONDS = 3_000;

/** Maximum number of lost attempts that the caller side remembers. */
export const MAXIMUM_LOST_ATTEMPTS = 8_192;

/** Maximum number of messages queued until one session opens. */
export const MAXIMUM_WAITING_MESSAGES = 256;

/** Bytes queued in a socket above which messages are dropped. */
export const MAXIMUM_SOCKET_BACKLOG_BYTES = 8_388_608;

/** Maximum number of calls queued until one session opens. */
export const MAXIMUM_WAITING_CALLS = 1_024;

/** Maximum number of concurrent connections in the handshake. */
export const MAXIMUM_HANDSHAKES = 1_024;
