/** Constants of the session package. */

import type {SessionLimits, SessionSwitches} from './SessionTypes.js';

/** Version of the protocol between daemons. */
export const PROTOCOL_VERSION = 1;

/** Bytes of the fixed header of a frame. */
export const FRAME_HEADER_BYTES = 16;

/** Bytes of a handshake nonce. */
export const NONCE_BYTES = 32;

/** Bytes of a frame at most until the other end is proved. */
export const MAXIMUM_HANDSHAKE_FRAME_BYTES = 4_096;

/** Bytes of body in one frame at most. */
export const MAXIMUM_BODY_CHUNK_BYTES = 65_536;

/** Bytes that a session hands to its socket before it waits for a drain. */
export const SOCKET_HIGH_WATER_BYTES = 262_144;

/** Bytes received after which the progress is acknowledged unasked. */
export const ACKNOWLEDGE_THRESHOLD_BYTES = 65_536;

/** Interval of the pool's timer, in milliseconds. */
export const TICK_INTERVAL_MILLISECONDS = 100;

/** Interval of the search for idle sessions, in milliseconds. */
export const IDLE_CHECK_INTERVAL_MILLISECONDS = 1_000;

/** Longest step of the clock that counts as silence, in milliseconds. */
export const MAXIMUM_SILENCE_STEP_MILLISECONDS = 300;

/** Time that a resolution may take, in milliseconds. */
export const RESOLUTION_TIMEOUT_MILLISECONDS = 3_000;

/** Bytes of a datagram at most. */
export const MAXIMUM_DATAGRAM_BYTES = 1_400;

/** Limits unless an owner sets others. */
export const DEFAULT_LIMITS: SessionLimits = {
  connectTimeoutMilliseconds: 1_000,
  heldAnswerBytes: 33_554_432,
  heldAnswerCount: 4_096,
  heldAnswerMilliseconds: 10_000,
  idleCloseMilliseconds: 60_000,
  keepaliveIntervalMilliseconds: 400,
  keepaliveTimeoutMilliseconds: 1_200,
  maximumCallsPerSession: 4_096,
  maximumFrameBytes: 1_048_576,
  maximumSessionBufferedBytes: 33_554_432,
  reconnectMaximumMilliseconds: 2_000,
  reconnectMinimumMilliseconds: 50,
  streamWindowBytes: 262_144,
};

/** Every check is enabled. */
export const DEFAULT_SWITCHES: SessionSwitches = {
  checksBinding: true,
  checksBodies: true,
  checksKeepalive: true,
  fencesAttempts: true,
};

/** Time that the record of a settled attempt is kept, in milliseconds. */
export const ATTEMPT_RETENTION_MILLISECONDS = 30_000;

/** Records of settled attempts at most. */
export const MAXIMUM_ATTEMPT_RECORDS = 65_536;

/** Longest way of a question about an attempt, in milliseconds. */
export const MAXIMUM_RESOLVE_TRANSIT_MILLISECONDS = 3_000;

/** Lost attempts that a caller's side remembers at most. */
export const MAXIMUM_LOST_ATTEMPTS = 8_192;

/** Messages that wait for one session to open at most. */
export const MAXIMUM_WAITING_MESSAGES = 256;

/** Bytes that wait in a socket above which messages are dropped. */
export const MAXIMUM_SOCKET_BACKLOG_BYTES = 8_388_608;

/** Calls that wait for one session to open at most. */
export const MAXIMUM_WAITING_CALLS = 1_024;

/** Connections that may be in their handshake at once. */
export const MAXIMUM_HANDSHAKES = 1_024;
