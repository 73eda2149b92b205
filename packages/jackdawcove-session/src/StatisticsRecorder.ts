/** Statistics of a pool over open and closed sessions. */

import type {DatagramCounts} from './DatagramEndpoint.js';
import type {SessionLink} from './SessionLink.js';
import type {SessionStatistics} from './SessionTypes.js';

type Totals = {
  bytesReceived: number;
  bytesSent: number;
  framesDropped: number;
  framesReceived: number;
  framesSent: number;
};

/** Adds the counters of closed sessions to those of open ones. */
export class StatisticsRecorder {
  readonly #closedTotals: Totals = createTotals();
  #messagesDropped = 0;
  #sessionsClosed = 0;

  /** Returns the statistics of all sessions. */
  getStatistics(
    links: ReadonlySet<SessionLink>,
    datagrams: DatagramCounts,
    heldAnswers: number,
  ): SessionStatistics {
    const totals = {...this.#closedTotals};
    let bufferedBytes = 0;
    let openCalls = 0;
    let openSessions = 0;
    let unwrittenBytes = 0;
    for (const link of links) {
      const counts = link.core.getCounts();
      addTotals(totals, link);
      bufferedBytes += counts.bufferedBytes;
      openCalls += counts.incomingCalls + counts.outgoingCalls;
      openSessions += link.core.getPhase() === 'open' ? 1 : 0;
      unwrittenBytes += link.getUnwrittenBytes();
    }
    return {
      ...totals,
      bufferedBytes,
      datagramsReceived: datagrams.received,
      datagramsRejected: datagrams.rejected,
      datagramsSent: datagrams.sent,
      heldAnswers,
      messagesDropped: this.#messagesDropped,
      openCalls,
      openSessions,
      sessionsClosed: this.#sessionsClosed,
      unwrittenBytes,
    };
  }

  /** Counts a message that was not delivered. */
  countDroppedMessage(): void {
    this.#messagesDropped += 1;
  }

  /** Keeps the counters of a closed session. */
  recordClosed(link: SessionLink): void {
    addTotals(this.#closedTotals, link);
    this.#sessionsClosed += 1;
  }
}

function addTotals(totals: Totals, link: SessionLink): void {
  const counts = link.core.getCounts();
  totals.bytesReceived += link.bytesReceived;
  totals.bytesSent += link.bytesSent;
  totals.framesDropped += counts.framesDropped;
  totals.framesReceived += counts.framesReceived;
  totals.framesSent += counts.framesSent;
}

function createTotals(): Totals {
  return {
    bytesReceived: 0,
    bytesSent: 0,
    framesDropped: 0,
    framesReceived: 0,
    framesSent: 0,
  };
}
