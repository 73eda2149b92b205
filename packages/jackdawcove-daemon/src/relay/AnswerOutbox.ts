/** Answers for other daemons: sent, sent later, and kept for offers that are resent. */

import type {RelayTransport} from './RelayTransport.js';
import type {RelayPacket} from 'jackdawcove-relay';
import type {DaemonName, Incarnation, Milliseconds} from 'jackdawcove-shared';

import {AnswerCache} from './AnswerCache.js';

/**
 * Process that an answer is for. Its successor numbers its attempts by itself and must
 * not receive it.
 */
export type AnswerReceiver = {
  readonly daemon: DaemonName;
  readonly incarnation: Incarnation;
};

/** Sends answers; those that a session cannot accept now are sent on a later tick. */
export class AnswerOutbox {
  readonly #cache = new AnswerCache();
  readonly #transport: Pick<RelayTransport, 'send'>;
  /** Receivers of the answers of which no packet was accepted, by key. */
  readonly #unsent = new Map<string, AnswerReceiver>();

  constructor(transport: Pick<RelayTransport, 'send'>) {
    this.#transport = transport;
  }

  /**
   * Sends an answer and keeps it for a while.
   *
   * @example
   * outbox.send('vm-1/7/3', {daemon: 'vm-1', incarnation: 7}, packets, clock());
   */
  send(
    key: string,
    to: AnswerReceiver,
    packets: readonly RelayPacket[],
    now: Milliseconds,
  ): void {
    this.#cache.add(key, packets, now);
    this.#sendOrQueue(key, to, packets);
  }

  /** Sends a kept answer again; returns false if it is not kept any more. */
  resend(key: string, to: AnswerReceiver): boolean {
    const packets = this.#cache.get(key);
    if (packets === undefined) {
      return false;
    }
    this.#sendOrQueue(key, to, packets);
    return true;
  }

  /** Forgets what waits for a daemon whose session was lost; it resends its offers. */
  handleSessionLost(daemon: DaemonName): void {
    for (const [key, to] of this.#unsent) {
      if (to.daemon === daemon) {
        this.#unsent.delete(key);
      }
    }
  }

  tick(now: Milliseconds): void {
    this.#cache.expire(now);
    for (const [key, to] of this.#unsent) {
      if (!this.resend(key, to)) {
        this.#unsent.delete(key);
      }
    }
  }

  #sendOrQueue(
    key: string,
    to: AnswerReceiver,
    packets: readonly RelayPacket[],
  ): void {
    if (this.#write(to, packets)) {
      this.#unsent.delete(key);
    } else {
      this.#unsent.set(key, to);
    }
  }

  /** Returns false if the first packet is not accepted; the others follow it at once. */
  #write(to: AnswerReceiver, packets: readonly RelayPacket[]): boolean {
    const [first, ...others] = packets;
    const {daemon, incarnation} = to;
    if (
      first === undefined ||
      !this.#transport.send(daemon, first, incarnation)
    ) {
      return first === undefined;
    }
    for (const packet of others) {
      this.#transport.send(daemon, packet, incarnation);
    }
    return true;
  }
}
