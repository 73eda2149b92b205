/** Processes of the local backend server that have ended, or will soon. */

import type {Announcement, Withdrawal} from './Announcement.js';
import type {Incarnation} from 'jackdawcove-shared';

import {MAXIMUM_SUPERSEDED_TOKENS} from './MembershipConstants.js';

type WithdrawnProcess = Pick<Withdrawal, 'instance' | 'processToken'> & {
  /** Every process of the instance that started earlier, if no token is known. */
  readonly startedBefore: Incarnation;
};

function isOf(
  {instance, processToken, startedBefore}: WithdrawnProcess,
  announcement: Announcement,
): boolean {
  // Without sequence numbers a delayed announcement cannot be told from a new one.
  if (
    announcement.instance !== instance ||
    announcement.sequence === undefined
  ) {
    return false;
  }
  return processToken === undefined
    ? (announcement.startedAt ?? 0) < startedBefore
    : announcement.processToken === processToken;
}

/** Processes whose delayed announcements must not get the lease. */
export class EndedProcesses {
  #supersededTokens: readonly string[] = [];
  #withdrawn: readonly WithdrawnProcess[] = [];

  /** Records that another process took over, or that the holder withdrew. */
  addToken(processToken: string): void {
    this.#supersededTokens = [processToken, ...this.#supersededTokens].slice(
      0,
      MAXIMUM_SUPERSEDED_TOKENS,
    );
  }

  /**
   * Records the withdrawal of a process that does not hold the lease. If it does not
   * name the process, it is of those that started before.
   *
   * @example
   * ended.addWithdrawal({instance: 'shelf-1'}, wallTime);
   */
  addWithdrawal(
    {instance, processToken}: Withdrawal,
    startedBefore: Incarnation,
  ): void {
    const withdrawn: WithdrawnProcess = {instance, processToken, startedBefore};
    this.#withdrawn = [withdrawn, ...this.#withdrawn].slice(
      0,
      MAXIMUM_SUPERSEDED_TOKENS,
    );
  }

  has(announcement: Announcement): boolean {
    return (
      this.#supersededTokens.includes(announcement.processToken) ||
      this.#withdrawn.some((withdrawn) => isOf(withdrawn, announcement))
    );
  }

  /** Forgets a process that turned out to run. */
  remove(announcement: Announcement): void {
    this.#supersededTokens = this.#supersededTokens.filter(
      (token) => token !== announcement.processToken,
    );
    this.#withdrawn = this.#withdrawn.filter(
      (withdrawn) => !isOf(withdrawn, announcement),
    );
  }

  /** Forgets the processes that others took over from. */
  clearTokens(): void {
    this.#supersededTokens = [];
  }
}
