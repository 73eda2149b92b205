/** Announcement that holds the lease, and how others compare with it. */

import type {Announcement, Withdrawal} from './Announcement.js';
import type {BackendServerRecord} from './MembershipRecords.js';
import type {Address, Incarnation, Milliseconds} from 'jackdawcove-shared';

import {formatAddress} from 'jackdawcove-shared';

/** Announcement that holds the lease. */
export type LeaseHolder = {
  readonly announcement: Announcement;
  readonly expiresAt: Milliseconds;
  readonly incarnation: Incarnation;
  readonly renewedAt: Milliseconds;
};

/**
 * Returns the record to gossip for a holder.
 *
 * @example
 * createRecord(holder).state; // 'ready'
 */
export function createRecord({
  announcement,
  incarnation,
}: LeaseHolder): BackendServerRecord {
  const {connections, instance, service, slots, state} = announcement;
  return {connections, incarnation, instance, service, slots, state};
}

/** Checks whether two announcements are of one instance. */
export function isSameInstance(
  left: Pick<Announcement, 'instance' | 'service'>,
  right: Pick<Announcement, 'instance' | 'service'>,
): boolean {
  return left.instance === right.instance && left.service === right.service;
}

/** Checks whether an announcement is older than another one. */
export function isOutdated(
  announcement: Announcement,
  current: Announcement,
): boolean {
  if (announcement.processToken === current.processToken) {
    return (announcement.sequence ?? 0) < (current.sequence ?? 0);
  }
  return (announcement.startedAt ?? 0) < (current.startedAt ?? 0);
}

/** Checks whether a withdrawal is of the process of an announcement. */
export function isWithdrawalOf(
  withdrawal: Withdrawal,
  {instance, processToken, service}: Announcement,
): boolean {
  return (
    withdrawal.instance === instance &&
    (withdrawal.processToken ?? processToken) === processToken &&
    (withdrawal.service ?? service) === service
  );
}

/** Checks whether two addresses are the same. */
export function isSameAddress(left: Address, right: Address): boolean {
  return formatAddress(left) === formatAddress(right);
}
