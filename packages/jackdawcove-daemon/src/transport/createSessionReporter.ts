/** Reports session events to the timeline, the log and the metrics. */

import type {Metrics, RecordEvent} from '../DaemonHost.js';
import type Logger from 'bunyan';
import type {SessionEvent} from 'jackdawcove-session';
import type {EventKind} from 'jackdawcove-timeline';

import {formatFailure} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

/** Receivers of the reports. */
export type ReportSink = {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly recordEvent: RecordEvent;
};

/**
 * Creates the listener for the events of the session pool.
 *
 * @example
 * new SessionPool({...options, onEvent: createSessionReporter(sink)});
 */
export function createSessionReporter(
  sink: ReportSink,
): (event: SessionEvent) => void {
  const {log, metrics, recordEvent} = sink;
  return (event) => {
    metrics.increment(`sessions.${event.kind}`);
    match(event)
      .with({kind: 'connectFailed'}, ({peer, reason}) => {
        log.debug({peer, reason}, 'connection attempt failed');
      })
      .with({kind: 'datagramRejected'}, ({failure}) => {
        log.debug({failure: formatFailure(failure)}, 'datagram rejected');
      })
      .with({kind: 'sessionClosed'}, ({failure, peer}) => {
        const kind = CLOSED_EVENT_KINDS[failure.result] ?? 'sessionClosed';
        recordEvent(kind, {peer, reason: formatFailure(failure)});
        log.info({failure: formatFailure(failure), peer}, 'session closed');
      })
      .with({kind: 'sessionOpened'}, ({peer, peerIncarnation}) => {
        recordEvent('sessionOpened', {peer, peerIncarnation});
        log.info({peer}, 'session opened');
      })
      .exhaustive();
  };
}

const CLOSED_EVENT_KINDS: Readonly<Record<string, EventKind>> = {
  authenticationFailed: 'authenticationFailed',
  keepaliveTimeout: 'sessionSilent',
};
