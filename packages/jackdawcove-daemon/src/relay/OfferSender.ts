/** Sends offers and their cancellations to the daemons of instances. */

import type {DaemonHost} from '../DaemonHost.js';
import type {OpenAttempt} from './RelayCall.js';
import type {RelayTransport} from './RelayTransport.js';
import type {Milliseconds} from 'jackdawcove-shared';

import {createOffer} from './createOffer.js';

/** Dependencies of the sender. */
export type OfferSenderOptions = {
  readonly host: DaemonHost;
  readonly transport: RelayTransport;
};

/** Sends the offers of attempts. */
export class OfferSender {
  readonly #options: OfferSenderOptions;

  constructor(options: OfferSenderOptions) {
    this.#options = options;
  }

  /** Sends an offer; returns false when there is no session with its daemon. */
  send(attempt: OpenAttempt, isResent: boolean, now: Milliseconds): boolean {
    const {host, transport} = this.#options;
    const offer = createOffer(attempt, host.incarnation, isResent, now);
    return transport.send(attempt.candidate.daemon, offer);
  }

  cancel({candidate, number}: OpenAttempt): void {
    const {host, transport} = this.#options;
    const isSent = transport.send(candidate.daemon, {
      attempt: number,
      callerIncarnation: host.incarnation,
      kind: 'cancel',
    });
    if (!isSent) {
      host.metrics.increment('relay.cancelDelayed');
    }
  }
}
