/** Logs the events of the voter and records them on the timeline. */

import type {DaemonHost} from '../DaemonHost.js';
import type {VoterEvent} from './VoterRuntime.js';

import {match} from 'ts-pattern';

/**
 * Logs an event of the voter or records it on the timeline.
 *
 * @example
 * recordVoterEvent(host, {kind: 'becameLeader', term: 3});
 */
export function recordVoterEvent(
  {log, recordEvent}: DaemonHost,
  event: VoterEvent,
): void {
  match(event)
    .with({kind: 'becameLeader'}, {kind: 'lostLeadership'}, ({kind, term}) => {
      recordEvent(kind, {term});
    })
    .with({kind: 'proposalRefused'}, ({reason}) => {
      log.debug({reason}, 'proposal refused');
    })
    .with({kind: 'storageRecovered'}, ({kind}) => {
      log.info('voter runs again after a failure of its storage');
      recordEvent(kind, {});
    })
    .with({kind: 'storageFailed'}, ({failure, kind}) => {
      log.error({failure}, 'voter stopped because its storage failed');
      recordEvent(kind, {detail: failure.detail, result: failure.result});
    })
    .exhaustive();
}
