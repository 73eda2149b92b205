/** Timeouts, intervals and size limits of membership. */

import type {Milliseconds} from 'jackdawcove-shared';

/** Interval of `Membership.tick`. */
export const TICK_INTERVAL_MS: Milliseconds = 100;

/** Interval at which a daemon starts direct probes. */
export const PROBE_INTERVAL_MS: Milliseconds = 1_000;

/** Timeout of a direct probe; after it, other daemons are asked to probe. */
export const DIRECT_PROBE_TIMEOUT_MS: Milliseconds = 300;

/** Timeout of direct and indirect probes; after it, the target is suspected. */
export const PROBE_TIMEOUT_MS: Milliseconds = 1_000;

/** Number of daemons asked to probe a target that missed the direct timeout. */
export const INDIRECT_PROBE_COUNT = 3;

/** Every n-th probe goes to another availability zone. */
export const PROBES_PER_CROSS_ZONE_PROBE = 4;

/** Additional probes to other zones per interval after a cross-zone failure. */
export const EXTRA_CROSS_ZONE_PROBES = 4;

/** Time a suspected daemon has to refute before it is marked unreachable. */
export const SUSPICION_TIMEOUT_MS: Milliseconds = 3_000;

/** A longer gap between ticks means that the process was paused. */
export const PAUSE_THRESHOLD_MS: Milliseconds = 3_000;

/** Daemons that are sent gossip on each tick while updates are queued. */
export const GOSSIP_FANOUT = 4;

/** A record is sent at most this factor times log2 of the member count. */
export const RECORD_RETRANSMISSION_FACTOR = 2;

/** Same factor for a state change, which others also detect by their probes. */
export const STATE_RETRANSMISSION_FACTOR = 1;

/** Maximum encoded size of a datagram message, without its envelope. */
export const MAXIMUM_DATAGRAM_BYTES = 1_000;

/** Rate and burst size of the token bucket for gossip. */
export const GOSSIP_BYTES_PER_SECOND = 5_000;
export const GOSSIP_BURST_BYTES = 15_000;

/** Interval at which a digest is sent to a random daemon. */
export const ANTI_ENTROPY_INTERVAL_MS: Milliseconds = 10_000;

/** Number of buckets of the digest. */
export const DIGEST_BUCKET_COUNT = 32;

/** Maximum number of records in one state message. */
export const MAXIMUM_RECORDS_PER_MESSAGE = 200;

/** Interval between join attempts while no other daemon is reachable. */
export const JOIN_INTERVAL_MS: Milliseconds = 1_000;

/**
 * Time that a daemon waits for what the fleet knows of its earlier process before it
 * publishes its backend server as ready.
 */
export const EARLIER_RECORD_TIMEOUT_MS: Milliseconds = 1_500;

/** Interval between join attempts at seeds that are not reachable. */
export const SEED_CONTACT_INTERVAL_MS: Milliseconds = 10_000;

/** Retention of the record of a daemon that left. */
export const LEFT_RETENTION_MS: Milliseconds = 3_600_000;

/** Retention of the record of an unreachable daemon. */
export const UNREACHABLE_RETENTION_MS: Milliseconds = 86_400_000;

/** Lease of an announced backend server, which renews it every second. */
export const ANNOUNCEMENT_LEASE_MS: Milliseconds = 3_000;

/** Interval at which a backend server announces itself. */
export const ANNOUNCEMENT_INTERVAL_MS: Milliseconds = 1_000;

/** Intervals without a renewal after which another process may displace the holder. */
export const SILENT_HOLDER_INTERVALS = 1.25;

/** Intervals over which that process must have announced itself. */
export const CONTENDER_INTERVALS = 0.5;

/** Sequence numbers per millisecond of Unix time: a process may use a clock as its counter. */
export const SEQUENCES_PER_MILLISECOND = 1_000;

/** Maximum number of replaced, and of withdrawn, processes that a daemon keeps. */
export const MAXIMUM_SUPERSEDED_TOKENS = 16;

/** Time after the first state message in which its records are not gossiped. */
export const INITIAL_STATE_PERIOD_MS: Milliseconds = 2_000;

/** Maximum number of pending probes relayed for other daemons. */
export const MAXIMUM_RELAYED_PROBES = 256;
