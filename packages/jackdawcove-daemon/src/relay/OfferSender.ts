/** Sends offers and their cancellations to the daemons of instances. */

import type {DaemonHost} from '../DaemonHost.js';
import type {OpenAttempt} from './RelayCall.js';
import type {RelayTransport} from './RelayTransport.js';
import type {CancelPacket} from 'jackdawcove-relay';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {createOffer} from './createOffer.js';
import {recordReceiver} from './RelayCall.js';
import {SESSION_LOSS_GRACE_MILLISECONDS} from './RelayConstants.js';

/** Dependencies of the sender. */
export type OfferSenderOptions = {
  readonly host: DaemonHost;
  readonly transport: RelayTransport;
};

type UnsentCancel = {
  readonly packet: CancelPacket;
  readonly receiver: DaemonName;
  /** Time from which the receiver cancels the offer itself. */
  readonly until: Milliseconds;
};

/** Sends the offers of attempts; a cancellation that no session accepts is sent later. */
export class OfferSender {
  readonly #options: OfferSenderOptions;
  #unsentCancels: readonly UnsentCancel[] = [];

  constructor(options: OfferSenderOptions) {
    this.#options = options;
  }

  /** Sends an offer; returns false when there is no session with its daemon. */
  send(attempt: OpenAttempt, isResent: boolean, now: Milliseconds): boolean {
    const {host, transport} = this.#options;
    const offer = createOffer(attempt, host.incarnation, isResent, now);
    const {daemon} = attempt.candidate;
    const isSent = transport.send(daemon, offer);
    if (isSent) {
      recordReceiver(attempt, transport.getIncarnation(daemon));
    }
    return isSent;
  }

  /**
   * Cancels the offer of an attempt.
   *
   * @example
   * sender.cancel(call.attempt);
   */
  cancel({candidate, number}: OpenAttempt): void {
    const {clock, incarnation} = this.#options.host;
    const unsent: UnsentCancel = {
      packet: {
        attempt: number,
        callerIncarnation: incarnation,
        kind: 'cancel',
      },
      receiver: candidate.daemon,
      until: clock() + SESSION_LOSS_GRACE_MILLISECONDS,
    };
    if (!this.#sendCancel(unsent)) {
      this.#options.host.metrics.increment('relay.cancelDelayed');
      this.#unsentCancels = [...this.#unsentCancels, unsent];
    }
  }

  /** Sends the cancellations that no session has accepted yet. */
  sendUnsentCancels(now: Milliseconds): void {
    if (this.#unsentCancels.length > 0) {
      this.#unsentCancels = this.#unsentCancels.filter(
        (unsent) => now < unsent.until && !this.#sendCancel(unsent),
      );
    }
  }

  #sendCancel({packet, receiver}: UnsentCancel): boolean {
    return this.#options.transport.send(receiver, packet);
  }
}
