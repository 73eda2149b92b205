/** Messages that membership is about to send. */

import type {MemberRegistry} from './MemberRegistry.js';
import type {
  MembershipDatagram,
  MembershipSessionMessage,
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

/** A message to be sent. */
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

/** Collects messages and fills datagrams with gossip. */
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

  /** Adds the bytes of gossip for the time that passed. */
  refill(now: Milliseconds): void {
    this.#budget.refill(now);
  }

  /** Sends a message over a session. */
  sendMessage(address: Address, message: MembershipSessionMessage): void {
    this.#messages.push({address, kind: 'sendMessage', message});
  }

  /** Sends a datagram, filled with gossip and with what its target must refute. */
  sendDatagram(
    address: Address,
    target: DaemonName | undefined,
    message: MembershipDatagram,
  ): void {
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
    this.#messages.push({
      address,
      kind: 'sendDatagram',
      message: {...message, gossip},
    });
  }

  /** Sends waiting gossip to some random daemons. */
  sendGossip(): void {
    if (!this.#registry.hasGossip()) {
      return;
    }
    for (const {address, name} of this.choosePeers(GOSSIP_FANOUT)) {
      if (this.#registry.hasGossip()) {
        this.sendDatagram(address, name, {gossip: [], kind: 'gossip'});
      }
    }
  }

  /** Returns some random daemons in reach. */
  choosePeers(count: number): readonly DaemonRecord[] {
    return shuffle(this.getPeers(), this.#randomNumber).slice(0, count);
  }

  /** Returns the other daemons in reach. */
  getPeers(): readonly DaemonRecord[] {
    const {name} = this.#registry.getLocalRecord();
    return this.#registry
      .getTable()
      .getRecords()
      .filter((record) => record.name !== name && isDaemonReachable(record));
  }

  /** Takes the messages collected so far. */
  takeMessages(): OutgoingMessage[] {
    const messages = this.#messages;
    this.#messages = [];
    return messages;
  }
}
