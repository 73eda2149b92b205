/** Process that keeps announcing itself although another one holds the lease. */

import type {Announcement} from './Announcement.js';
import type {Milliseconds} from 'jackdawcove-shared';

type Contender = {
  readonly processToken: string;
  readonly sequence: number;
  readonly since: Milliseconds;
};

/**
 * Tracks the process whose announcements are refused. Only a running process
 * sends announcements with growing sequence numbers over some time; delayed ones
 * of a process that ended arrive at once or not in this order.
 */
export class LeaseContender {
  #contender: Contender | undefined;

  /**
   * Records a refused announcement. Returns the time over which the process has
   * announced itself with growing sequence numbers.
   *
   * @example
   * contender.record(announcement, now) >= 500;
   */
  record(
    {processToken, sequence = 0}: Announcement,
    now: Milliseconds,
  ): Milliseconds {
    const current = this.#contender;
    if (current?.processToken !== processToken) {
      this.#contender = {processToken, sequence, since: now};
      return 0;
    }
    if (sequence <= current.sequence) {
      return 0;
    }
    this.#contender = {...current, sequence};
    return now - current.since;
  }

  /** Forgets the process, because the holder has renewed its lease. */
  clear(): void {
    this.#contender = undefined;
  }
}
