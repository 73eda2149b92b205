/** Times and sizes of membership. */

import type {Milliseconds} from 'jackdawcove-shared';

/** Interval of `Membership.tick`. */
export const TICK_INTERVAL_MS: Milliseconds = 100;

/** Interval between two direct probes of one daemon. */
export const PROBE_INTERVAL_MS: Milliseconds = 1_000;

/** Time without an answer after which other daemons are asked to probe. */
export const DIRECT_PROBE_TIMEOUT_MS: Milliseconds = 300;

/** Time without any answer after which the target is suspected. */
export const PROBE_TIMEOUT_MS: Milliseconds = 1_000;

/** Daemons that are asked to probe a silent target. */
export const INDIRECT_PROBE_COUNT = 3;

/** One of so many probes goes to another availability zone. */
export const PROBES_PER_CROSS_ZONE_PROBE = 4;

/** Extra probes to other zones in each interval after one of them failed. */
export const EXTRA_CROSS_ZONE_PROBES = 4;

/** Time for a suspected daemon to refute before it counts as unreachable. */
export const SUSPICION_TIMEOUT_MS: Milliseconds = 3_000;

/** Gap between ticks after which the process is taken to have been paused. */
export const PAUSE_THRESHOLD_MS: Milliseconds = 3_000;

/** Daemons that get a gossip datagram on each tick while updates are fresh. */
export const GOSSIP_FANOUT = 4;

/** A record is sent up to this factor times log2 of the member count. */
export const RECORD_RETRANSMISSION_FACTOR = 2;

/** The same for a state, which others also find out by their own probes. */
export const STATE_RETRANSMISSION_FACTOR = 1;

/** Greatest encoded size of the message in a datagram, without its envelope. */
export const MAXIMUM_DATAGRAM_BYTES = 1_000;

/** Bytes of gossip a daemon may send each second, and its burst. */
export const GOSSIP_BYTES_PER_SECOND = 5_000;
export const GOSSIP_BURST_BYTES = 15_000;

/** Interval between two digests sent to a random daemon. */
export const ANTI_ENTROPY_INTERVAL_MS: Milliseconds = 10_000;

/** Buckets of the digest. */
export const DIGEST_BUCKET_COUNT = 32;

/** Records in one state message. */
export const MAXIMUM_RECORDS_PER_MESSAGE = 200;

/** Interval between two joins while no other daemon is in reach. */
export const JOIN_INTERVAL_MS: Milliseconds = 1_000;

/** Interval between two joins at seeds that are not in reach. */
export const SEED_CONTACT_INTERVAL_MS: Milliseconds = 10_000;

/** Time for which the record of a daemon that left is kept. */
export const LEFT_RETENTION_MS: Milliseconds = 3_600_000;

/** Time for which the record of an unreachable daemon is kept. */
export const UNREACHABLE_RETENTION_MS: Milliseconds = 86_400_000;

/** Lease of an announced backend server; it renews every second. */
export const ANNOUNCEMENT_LEASE_MS: Milliseconds = 3_000;

/** Process tokens of earlier processes of the instance that are remembered. */
export const MAXIMUM_SUPERSEDED_TOKENS = 16;

/** Time after the first state message in which records are not passed on. */
export const INITIAL_STATE_PERIOD_MS: Milliseconds = 2_000;

/** Probes for other daemons that are remembered. */
export const MAXIMUM_RELAYED_PROBES = 256;
