/** Fleet membership: SWIM with suspicion, incarnations and gossip. */

import type {MembershipMessage, WireUpdate} from './MembershipMessages.js';
import type {OutgoingMessage} from './MembershipOutbox.js';
import type {
  BackendServerRecord,
  DaemonRecord,
  LocalDaemon,
} from './MembershipRecords.js';
import type {MembershipView} from './MembershipView.js';
import type {
  Address,
  DaemonName,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {match} from 'ts-pattern';

import {MemberRegistry} from './MemberRegistry.js';
import {PAUSE_THRESHOLD_MS} from './MembershipConstants.js';
import {decodeRecord} from './MembershipMessages.js';
import {MembershipOutbox} from './MembershipOutbox.js';
import {isSameBackendServer} from './MembershipRecords.js';
import {Prober} from './Prober.js';
import {StateExchange} from './StateExchange.js';

/** Side effect that the owner of the membership has to execute. */
export type MembershipEffect =
  | OutgoingMessage
  | {readonly kind: 'daemonChanged'; readonly record: DaemonRecord}
  /** An earlier process of this daemon published the backend server as draining. */
  | {
      readonly backendServer: BackendServerRecord;
      readonly kind: 'earlierBackendServer';
    }
  | {readonly kind: 'viewChanged'; readonly view: MembershipView};

/** Sender of a membership message. */
export type MembershipSource = {
  readonly address: Address;
  readonly daemon: DaemonName;
};

/** Options of a membership. */
export type MembershipOptions = {
  readonly local: LocalDaemon;
  readonly now: Milliseconds;
  readonly randomNumber: RandomNumber;
  /** Addresses of the daemons through which this one joins the fleet. */
  readonly seeds: readonly Address[];
};

/**
 * Membership state of one daemon. Call `tick` every TICK_INTERVAL_MS.
 *
 * @example
 * const membership = new Membership({local, now, randomNumber, seeds});
 * applyEffects(membership.join(now));
 * applyEffects(membership.receive(message, source, now));
 */
export class Membership {
  readonly #exchange: StateExchange;
  readonly #outbox: MembershipOutbox;
  readonly #prober: Prober;
  readonly #registry: MemberRegistry;
  #lastTickAt: Milliseconds;

  constructor({local, now, randomNumber, seeds}: MembershipOptions) {
    const registry = new MemberRegistry(local, now);
    const outbox = new MembershipOutbox(registry, randomNumber, now);
    this.#exchange = new StateExchange(
      registry,
      outbox,
      seeds,
      randomNumber,
      now,
    );
    this.#outbox = outbox;
    this.#prober = new Prober(registry, outbox, randomNumber, now);
    this.#registry = registry;
    this.#lastTickAt = now;
  }

  /** Returns the current view. */
  getView(): MembershipView {
    return this.#registry.getView();
  }

  /**
   * Sends a join to the seeds.
   *
   * @example
   * applyEffects(membership.join(now));
   */
  join(now: Milliseconds): readonly MembershipEffect[] {
    this.#exchange.join(now);
    return this.#takeEffects();
  }

  /**
   * Replaces the seeds, for example after the settings have changed.
   *
   * @example
   * membership.setSeeds([{host: '10.1.0.9', port: 7620}], now);
   */
  setSeeds(seeds: readonly Address[], now: Milliseconds): void {
    this.#exchange.setSeeds(seeds, now);
  }

  /**
   * Handles a message. The caller has validated it against its schema.
   *
   * @example
   * applyEffects(membership.receive(message, source, now));
   */
  receive(
    message: MembershipMessage,
    source: MembershipSource,
    now: Milliseconds,
  ): readonly MembershipEffect[] {
    this.#recoverFromPause(now);
    if ('gossip' in message) {
      this.#applyGossip(message.gossip, now);
    }
    match(message)
      .with({kind: 'acknowledgement'}, ({number}) => {
        this.#prober.receiveAcknowledgement(number);
      })
      .with({kind: 'digest'}, ({buckets}) => {
        this.#exchange.answerDigest(buckets, source);
      })
      .with({kind: 'gossip'}, () => undefined)
      .with({kind: 'join'}, ({record}) => {
        this.#exchange.answerJoin(decodeRecord(record), now);
      })
      .with({kind: 'ping'}, (ping) => {
        this.#prober.answerPing(ping.number, ping.target, source);
        this.#exchange.sendJoinIfUnknown(source, now);
      })
      .with({kind: 'pingRequest'}, ({address, number, target}) => {
        this.#prober.relayPing(address, target, {
          address: source.address,
          number,
        });
      })
      .with({kind: 'state'}, ({records, requestedBuckets}) => {
        this.#exchange.receiveState(
          records.map(decodeRecord),
          requestedBuckets,
          source,
          now,
        );
      })
      .exhaustive();
    return this.#takeEffects();
  }

  /**
   * Runs what is due: probes, suspicions, gossip and anti-entropy.
   *
   * @example
   * applyEffects(membership.tick(clock()));
   */
  tick(now: Milliseconds): readonly MembershipEffect[] {
    this.#recoverFromPause(now);
    this.#lastTickAt = now;
    this.#outbox.refill(now);
    this.#prober.handleOverdueProbes(now);
    this.#registry.expireSuspicions(now);
    this.#registry.removeExpired(now);
    this.#prober.startProbes(now);
    this.#outbox.sendGossip();
    this.#exchange.contactSeeds(now);
    this.#exchange.sendDigest(now);
    return this.#takeEffects();
  }

  /** Whether it is not known yet what an earlier process of this daemon published. */
  isAwaitingState(now: Milliseconds): boolean {
    return this.#exchange.isAwaitingState(now);
  }

  /** Returns the backend server that an earlier process of this daemon published. */
  getEarlierBackendServer(): BackendServerRecord | undefined {
    return this.#registry.getEarlierBackendServer();
  }

  /**
   * Publishes the local backend server, or its absence; nothing while it is not known
   * what an earlier process of this daemon published. That it is no longer ready, or
   * drains, is gossiped at once.
   *
   * @example
   * applyEffects(membership.setBackendServer(leases.getRecord(), now));
   */
  setBackendServer(
    backendServer: BackendServerRecord | undefined,
    now: Milliseconds,
  ): readonly MembershipEffect[] {
    const {backendServer: current, ...record} = this.#registry.getLocalRecord();
    if (
      !this.#exchange.isAwaitingState(now) &&
      !isSameBackendServer(current, backendServer)
    ) {
      const next = backendServer === undefined ? {} : {backendServer};
      this.#registry.updateLocal({...record, ...next}, now);
      const isNoLongerReady =
        current?.state === 'ready' && backendServer?.state !== 'ready';
      if (isNoLongerReady || backendServer?.state === 'draining') {
        this.#outbox.sendGossip();
      }
    }
    return this.#takeEffects();
  }

  /**
   * Publishes the newest ledger generation up to which the daemon has read all
   * records that its ledger groups require.
   */
  setLedgerGeneration(
    ledgerGeneration: number,
    now: Milliseconds,
  ): readonly MembershipEffect[] {
    const record = this.#registry.getLocalRecord();
    if (record.ledgerGeneration !== ledgerGeneration) {
      this.#registry.updateLocal({...record, ledgerGeneration}, now);
    }
    return this.#takeEffects();
  }

  /** Publishes that the daemon is draining and accepts no new work. */
  drain(now: Milliseconds): readonly MembershipEffect[] {
    const record = this.#registry.getLocalRecord();
    if (!record.isDraining) {
      this.#registry.updateLocal({...record, isDraining: true}, now);
    }
    return this.#takeEffects();
  }

  /**
   * Publishes that the daemon leaves the fleet. Keep calling `tick` until the
   * process ends.
   */
  leave(now: Milliseconds): readonly MembershipEffect[] {
    const record = this.#registry.getLocalRecord();
    this.#registry.updateLocal({...record, state: 'left'}, now);
    return this.#takeEffects();
  }

  /**
   * Marks a daemon as left on an operator's request. A daemon that is still
   * running refutes it.
   *
   * @example
   * applyEffects(membership.declareLeft('vm-7', now));
   */
  declareLeft(
    name: DaemonName,
    now: Milliseconds,
  ): readonly MembershipEffect[] {
    this.#registry.setState(name, 'left', now);
    return this.#takeEffects();
  }

  #applyGossip(gossip: readonly WireUpdate[], now: Milliseconds): void {
    for (const update of gossip) {
      this.#registry.applyUpdate(update, now);
    }
  }

  /**
   * Expires what timed out while the process was paused, before anything else is
   * handled.
   */
  #recoverFromPause(now: Milliseconds): void {
    if (now - this.#lastTickAt <= PAUSE_THRESHOLD_MS) {
      return;
    }
    this.#lastTickAt = now;
    this.#prober.reset();
    this.#registry.expireSuspicions(now);
    this.#registry.updateLocal(this.#registry.getLocalRecord(), now);
    this.#exchange.scheduleDigest(now);
  }

  #takeEffects(): readonly MembershipEffect[] {
    const {earlierBackendServer, records, view} =
      this.#registry.publishChanges();
    const effects: MembershipEffect[] = this.#outbox.takeMessages();
    if (earlierBackendServer !== undefined) {
      effects.push({
        backendServer: earlierBackendServer,
        kind: 'earlierBackendServer',
      });
    }
    for (const record of records) {
      effects.push({kind: 'daemonChanged', record});
    }
    if (view !== undefined) {
      effects.push({kind: 'viewChanged', view});
    }
    return effects;
  }
}
