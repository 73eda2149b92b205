/** Outgoing messages of membership. */

import type {MemberRegistry} from './MemberRegistry.js';
import type {
  MembershipDatagram,
  MembershipSessionMessage,
  WireUpdate,
} from './MembershipMessages.js';
import type {DaemonRecord} from './MembershipRecords.js';
import type {
  Address,
  DaemonName,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {shuffle} from 'jackdawcove-shared';

import {GossipBudget} from './GossipBudget.js';
import {GOSSIP_FANOUT} from './MembershipConstants.js';
import {encodeState, estimateEncodedBytes} from './MembershipMessages.js';
import {isDaemonReachable} from './MembershipRecords.js';

/** Outgoing message. */
export type OutgoingMessage =
  | {
      readonly address: Address;
      readonly kind: 'sendDatagram';
      readonly message: MembershipDatagram;
    }
  | {
      readonly address: Address;
      readonly kind: 'sendMessage';
      readonly message: MembershipSessionMessage;
    };

const EMPTY_GOSSIP: MembershipDatagram = {gossip: [], kind: 'gossip'};

/** Collects outgoing messages and adds gossip to datagrams. */
export class MembershipOutbox {
  readonly #budget: GossipBudget;
  #messages: OutgoingMessage[] = [];
  readonly #randomNumber: RandomNumber;
  readonly #registry: MemberRegistry;

  constructor(
    registry: MemberRegistry,
    randomNumber: RandomNumber,
    now: Milliseconds,
  ) {
    this.#budget = new GossipBudget(now);
    this.#randomNumber = randomNumber;
    this.#registry = registry;
  }

  /** Refills the gossip budget for the time since the last refill. */
  refill(now: Milliseconds): void {
    this.#budget.refill(now);
  }

  /** Queues a message to be sent over a session. */
  sendMessage(address: Address, message: MembershipSessionMessage): void {
    this.#messages.push({address, kind: 'sendMessage', message});
  }

  /**
   * Queues a datagram with as much gossip as fits. A target that this daemon does
   * not see as alive is also sent its recorded state, so that it can refute it.
   */
  sendDatagram(
    address: Address,
    target: DaemonName | undefined,
    message: MembershipDatagram,
  ): void {
    const gossip = this.#takeGossip(target, message);
    this.#messages.push({
      address,
      kind: 'sendDatagram',
      message: {...message, gossip},
    });
  }

  /**
   * Sends queued gossip to random daemons, as far as the budget allows. A datagram
   * without gossip would cost both daemons as much and report nothing.
   */
  sendGossip(): void {
    if (!this.#registry.hasGossip()) {
      return;
    }
    for (const {address, name} of this.choosePeers(GOSSIP_FANOUT)) {
      const gossip = this.#takeGossip(name, EMPTY_GOSSIP);
      if (gossip.length === 0) {
        return;
      }
      this.#messages.push({
        address,
        kind: 'sendDatagram',
        message: {gossip, kind: 'gossip'},
      });
    }
  }

  /** Returns up to `count` random reachable daemons. */
  choosePeers(count: number): readonly DaemonRecord[] {
    return shuffle(this.getPeers(), this.#randomNumber).slice(0, count);
  }

  /** Returns the other reachable daemons. */
  getPeers(): readonly DaemonRecord[] {
    const {name} = this.#registry.getLocalRecord();
    return this.#registry
      .getTable()
      .getRecords()
      .filter((record) => record.name !== name && isDaemonReachable(record));
  }

  /** Returns the collected messages and clears the outbox. */
  takeMessages(): OutgoingMessage[] {
    const messages = this.#messages;
    this.#messages = [];
    return messages;
  }

  #takeGossip(
    target: DaemonName | undefined,
    message: MembershipDatagram,
  ): WireUpdate[] {
    const record = this.#registry.getTable().getRecord(target ?? '');
    const isRefutable = record !== undefined && record.state !== 'alive';
    const targetState = isRefutable ? [encodeState(record)] : [];
    const availableBytes = this.#budget.getAvailableBytes(
      estimateEncodedBytes([message, targetState]),
    );
    const gossip = [
      ...targetState,
      ...this.#registry.takeGossip(availableBytes),
    ];
    this.#budget.spend(estimateEncodedBytes(gossip));
    return gossip;
  }
}
