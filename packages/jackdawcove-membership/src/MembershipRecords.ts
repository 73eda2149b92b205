/** Records that daemons gossip about each other, and their precedence. */

import type {Address, DaemonName} from 'jackdawcove-shared';

import {addressSchema, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** States of a daemon; under the same version, a later one overrides. */
export const DAEMON_STATES = [
  'alive',
  'suspect',
  'unreachable',
  'left',
] as const;

/** Schema of the state of a daemon. */
export const daemonStateSchema = z.enum(DAEMON_STATES);

/** State of a daemon as its peers see it. */
export type DaemonState = z.infer<typeof daemonStateSchema>;

/** States of a backend server, in the order of their numbers in messages. */
export const BACKEND_SERVER_STATES = ['draining', 'ready', 'starting'] as const;

/** Schema of the state of a backend server. */
export const backendServerStateSchema = z.enum(BACKEND_SERVER_STATES);

/** State of a backend server. */
export type BackendServerState = z.infer<typeof backendServerStateSchema>;

/** Schema of the record of a backend server. */
export const backendServerRecordSchema = z.object({
  connections: z.int().min(1),
  incarnation: z.int().min(0),
  instance: nameSchema,
  service: nameSchema,
  slots: z.int().min(1),
  state: backendServerStateSchema,
});

/** Record of a backend server. Only its own daemon knows its address. */
export type BackendServerRecord = z.infer<typeof backendServerRecordSchema>;

/** Schema of the record of a daemon. */
export const daemonRecordSchema = z.object({
  address: addressSchema,
  administrationAddress: addressSchema,
  availabilityZone: nameSchema,
  backendServer: backendServerRecordSchema.optional(),
  incarnation: z.int().min(0),
  isDraining: z.boolean(),
  isVoter: z.boolean(),
  ledgerGeneration: z.int().min(0),
  name: nameSchema,
  region: nameSchema,
  state: daemonStateSchema,
  version: z.int().min(0),
});

/**
 * Record of a daemon, as gossiped in the fleet.
 *
 * `incarnation` grows with each start of the process. `version` grows with each
 * change that the daemon itself makes, including the refutation of a suspicion.
 * `address` serves TCP sessions and UDP datagrams on one port.
 * `ledgerGeneration` is the newest ledger generation up to which the daemon has
 * read all records that its ledger groups require.
 */
export type DaemonRecord = z.infer<typeof daemonRecordSchema>;

/** Properties of the local daemon that are known at startup. */
export type LocalDaemon = {
  readonly address: Address;
  readonly administrationAddress: Address;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly isVoter: boolean;
  readonly name: DaemonName;
  readonly region: string;
};

/**
 * Compares two records of one daemon by incarnation, version and state. The
 * result is positive if `left` is newer.
 *
 * @example
 * compareDaemonRecords(suspected, alive) > 0; // same version: suspicion is newer
 */
export function compareDaemonRecords(
  left: DaemonRecord,
  right: DaemonRecord,
): number {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation - right.incarnation;
  }
  if (left.version !== right.version) {
    return left.version - right.version;
  }
  return DAEMON_STATES.indexOf(left.state) - DAEMON_STATES.indexOf(right.state);
}

/**
 * Checks whether a daemon is considered reachable, so that it may be sent new
 * work and messages.
 *
 * @example
 * isDaemonReachable(record); // true for 'alive' and 'suspect'
 */
export function isDaemonReachable(record: DaemonRecord): boolean {
  return record.state === 'alive' || record.state === 'suspect';
}

/**
 * Checks whether two records of a backend server are equal.
 *
 * @example
 * isSameBackendServer(record, {...record}); // true
 */
export function isSameBackendServer(
  left: BackendServerRecord | undefined,
  right: BackendServerRecord | undefined,
): boolean {
  return (
    left?.connections === right?.connections &&
    left?.incarnation === right?.incarnation &&
    left?.instance === right?.instance &&
    left?.service === right?.service &&
    left?.slots === right?.slots &&
    left?.state === right?.state
  );
}
