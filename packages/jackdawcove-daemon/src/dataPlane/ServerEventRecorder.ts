/** Records events of the local backend server on the timeline. */

import type {RecordEvent} from '../DaemonHost.js';
import type {LocalBackendServer} from '../membership/MembershipService.js';
import type {ServerSideStatus} from 'jackdawcove-call';

/** Records changes of the backend server's state. */
export class ServerEventRecorder {
  readonly #recordEvent: RecordEvent;
  #isOverloaded = false;

  constructor(recordEvent: RecordEvent) {
    this.#recordEvent = recordEvent;
  }

  /**
   * Records an announcement that is new, changed or the first after a crash.
   */
  recordAnnounced({instance, service, slots, state}: LocalBackendServer): void {
    this.#recordEvent('backendServerAnnounced', {
      instance,
      service,
      slots,
      state,
    });
  }

  /** Records that the announcement was withdrawn or its lease expired. */
  recordWithdrawn({instance, service}: LocalBackendServer): void {
    this.#recordEvent('backendServerWithdrawn', {instance, service});
  }

  /** Records that the process exited while requests were running. */
  recordCrashed(
    backend: LocalBackendServer | undefined,
    {inFlight}: ServerSideStatus,
  ): void {
    this.#recordEvent('backendServerCrashed', {
      inFlight,
      instance: backend?.instance,
      service: backend?.service,
    });
  }

  /** Records the start and the end of load shedding. */
  recordLoad({inFlight, limit, load, queued}: ServerSideStatus): void {
    const isOverloaded = load.threshold > 0;
    if (isOverloaded === this.#isOverloaded) {
      return;
    }
    this.#isOverloaded = isOverloaded;
    this.#recordEvent(isOverloaded ? 'overloadStarted' : 'overloadEnded', {
      inFlight,
      limit,
      queued,
      threshold: load.threshold,
    });
  }
}
