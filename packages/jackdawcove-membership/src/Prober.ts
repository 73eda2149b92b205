/** Sends probes, answers them and relays them for other daemons. */

import type {Probe} from './FailureDetector.js';
import type {MemberRegistry} from './MemberRegistry.js';
import type {MembershipOutbox} from './MembershipOutbox.js';
import type {
  Address,
  DaemonName,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {getNumberBase} from 'jackdawcove-shared';

import {FailureDetector} from './FailureDetector.js';
import {
  INDIRECT_PROBE_COUNT,
  MAXIMUM_RELAYED_PROBES,
  PROBE_INTERVAL_MS,
} from './MembershipConstants.js';
import {isDaemonReachable} from './MembershipRecords.js';

/** Requester of a relayed probe: its address and its number of the probe. */
export type RelayedProbe = {readonly address: Address; readonly number: number};

/** Sender of a probe. */
export type ProbeSource = {
  readonly address: Address;
  readonly daemon: DaemonName;
};

/** Distance of the numbers of relayed probes from those of direct ones. */
const RELAYED_NUMBER_OFFSET = 1_000_000_000;

/** Probes other daemons and handles the probes that they send. */
export class Prober {
  readonly #detector: FailureDetector;
  #nextProbeAt: Milliseconds;
  #nextRelayedNumber: number;
  readonly #outbox: MembershipOutbox;
  readonly #registry: MemberRegistry;
  readonly #relayedProbes = new Map<number, RelayedProbe>();

  constructor(
    registry: MemberRegistry,
    outbox: MembershipOutbox,
    randomNumber: RandomNumber,
    now: Milliseconds,
  ) {
    const local = registry.getLocalRecord();
    this.#detector = new FailureDetector(local, randomNumber);
    this.#nextRelayedNumber =
      getNumberBase(local.incarnation) + RELAYED_NUMBER_OFFSET;
    this.#nextProbeAt = now + randomNumber() * PROBE_INTERVAL_MS;
    this.#outbox = outbox;
    this.#registry = registry;
  }

  /** Drops all probes, because a paused process missed their answers. */
  reset(): void {
    this.#detector.reset();
  }

  /** Handles the acknowledgement of a direct or a relayed probe. */
  receiveAcknowledgement(number: number): void {
    const relayed = this.#relayedProbes.get(number);
    if (relayed === undefined) {
      this.#detector.acknowledge(number);
      return;
    }
    this.#relayedProbes.delete(number);
    this.#outbox.sendDatagram(relayed.address, undefined, {
      gossip: [],
      kind: 'acknowledgement',
      number: relayed.number,
    });
  }

  /** Acknowledges a probe if this daemon is its target. */
  answerPing(number: number, target: DaemonName, source: ProbeSource): void {
    // The probe may be meant for a daemon that had this address before.
    if (target !== this.#registry.getLocalRecord().name) {
      return;
    }
    this.#outbox.sendDatagram(source.address, source.daemon, {
      gossip: [],
      kind: 'acknowledgement',
      number,
    });
  }

  /** Probes a daemon on behalf of another one. */
  relayPing(address: Address, target: DaemonName, relayed: RelayedProbe): void {
    const number = this.#nextRelayedNumber;
    this.#nextRelayedNumber += 1;
    this.#relayedProbes.set(number, relayed);
    this.#relayedProbes.delete(number - MAXIMUM_RELAYED_PROBES);
    this.#outbox.sendDatagram(address, target, {
      gossip: [],
      kind: 'ping',
      number,
      target,
    });
  }

  /** Suspects targets of failed probes and requests indirect probes of others. */
  handleOverdueProbes(now: Milliseconds): void {
    const {failed, unanswered} = this.#detector.takeOverdue(now);
    for (const {target} of failed) {
      this.#registry.setState(target, 'suspect', now);
    }
    for (const probe of unanswered) {
      this.#requestIndirectProbes(probe);
    }
  }

  /** Starts the probes of the next interval when it is due. */
  startProbes(now: Milliseconds): void {
    if (now < this.#nextProbeAt) {
      return;
    }
    this.#nextProbeAt = now + PROBE_INTERVAL_MS;
    const records = this.#registry.getTable().getRecords();
    for (const {number, target} of this.#detector.startProbes(records, now)) {
      const address = this.#registry.getTable().getRecord(target)?.address;
      if (address !== undefined) {
        this.#outbox.sendDatagram(address, target, {
          gossip: [],
          kind: 'ping',
          number,
          target,
        });
      }
    }
  }

  #requestIndirectProbes({number, target}: Probe): void {
    const record = this.#registry.getTable().getRecord(target);
    if (record === undefined || !isDaemonReachable(record)) {
      return;
    }
    const relays = this.#outbox
      .choosePeers(INDIRECT_PROBE_COUNT + 1)
      .filter(({name}) => name !== target)
      .slice(0, INDIRECT_PROBE_COUNT);
    for (const relay of relays) {
      this.#outbox.sendDatagram(relay.address, relay.name, {
        address: record.address,
        gossip: [],
        kind: 'pingRequest',
        number,
        target,
      });
    }
  }
}
