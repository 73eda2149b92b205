/** Peers of one daemon by name, or by address while the name is unknown. */

import type {Greeting} from './Handshake.js';
import type {SessionLink} from './SessionLink.js';
import type {SessionLimits} from './SessionTypes.js';
import type {
  Address,
  DaemonName,
  Failure,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {createFailure, formatAddress} from 'jackdawcove-shared';

import {PeerSession} from './PeerSession.js';

/** Options of a registry. */
export type PeerSessionRegistryOptions = {
  readonly connect: (
    address: Address | undefined,
    name: DaemonName | undefined,
  ) => Failure | SessionLink;
  readonly limits: SessionLimits;
  readonly onMessageDropped: () => void;
  readonly randomNumber: RandomNumber;
  readonly resolveAddress: (name: DaemonName) => Address | undefined;
};

/** Finds, creates and removes the peers of a daemon. */
export class PeerSessionRegistry {
  readonly #byAddress = new Map<string, PeerSession>();
  readonly #byName = new Map<DaemonName, PeerSession>();
  readonly #connectingByAddress = new Map<string, SessionLink>();
  readonly #namesByAddress = new Map<string, DaemonName>();
  readonly #options: PeerSessionRegistryOptions;

  constructor(options: PeerSessionRegistryOptions) {
    this.#options = options;
  }

  /**
   * Returns why a session opened by a peer is refused, or undefined. If two
   * daemons connect to each other at once, the connection opened by the daemon
   * with the smaller name is kept. The session of an earlier incarnation never
   * replaces that of a later one.
   */
  getPeerRefusal(greeting: Greeting, ownName: DaemonName): Failure | undefined {
    const peer = this.#byName.get(greeting.name);
    const isOwnConnectionPreferred =
      peer?.isConnecting() === true && ownName < greeting.name;
    const currentIncarnation =
      peer?.getLink()?.core.getPeer()?.incarnation ?? 0;
    return isOwnConnectionPreferred || currentIncarnation > greeting.incarnation
      ? createFailure('sessionSuperseded')
      : undefined;
  }

  /** Stops using a session for new calls. */
  retire(link: SessionLink): void {
    const name = link.core.getPeer()?.name;
    if (name !== undefined) {
      this.#byName.get(name)?.retire(link);
    }
  }

  /** Uses an established session for all peer entries that wait for it. */
  handleEstablished(
    link: SessionLink,
    greeting: Greeting,
    now: Milliseconds,
  ): void {
    const key = formatAddress(greeting.address);
    const peer = this.getByName(greeting.name);
    this.#namesByAddress.set(key, greeting.name);
    this.#removeConnecting(link);
    peer.handleEstablished(link);
    for (const [otherKey, other] of this.#byAddress) {
      if (otherKey === key || other.isOpening(link)) {
        this.#byAddress.delete(otherKey);
        other.moveWaitingTo(link);
      }
    }
    for (const other of this.#byName.values()) {
      if (other.isOpening(link)) {
        const mismatch = createFailure('daemonUnreachable', greeting.name);
        other.handleClosed(link, mismatch, now);
      }
    }
  }

  /** Finds or creates the peer with a name. */
  getByName(name: DaemonName): PeerSession {
    return this.#getOrCreate(this.#byName, name, () =>
      this.#connect(this.#options.resolveAddress(name), name),
    );
  }

  /** Finds or creates the peer at an address. */
  getByAddress(address: Address): PeerSession {
    const key = formatAddress(address);
    const name = this.#namesByAddress.get(key);
    if (name !== undefined && this.#byName.get(name)?.getLink() !== undefined) {
      return this.getByName(name);
    }
    return this.#getOrCreate(this.#byAddress, key, () =>
      this.#connect(address, undefined),
    );
  }

  /** Handles the closing of a session. */
  handleClosed(link: SessionLink, failure: Failure, now: Milliseconds): void {
    const name = link.core.getPeer()?.name;
    if (name !== undefined) {
      this.#byName.get(name)?.handleClosed(link, failure, now);
      return;
    }
    this.#removeConnecting(link);
    for (const peers of [this.#byAddress, this.#byName]) {
      for (const peer of peers.values()) {
        peer.handleClosed(link, failure, now);
      }
    }
  }

  /** Closes all sessions and fails the waiting calls. */
  stop(failure: Failure): void {
    for (const peers of [this.#byAddress, this.#byName]) {
      for (const peer of peers.values()) {
        peer.stop(failure);
      }
    }
  }

  /** Advances time. */
  tick(now: Milliseconds): void {
    for (const peers of [this.#byAddress, this.#byName]) {
      for (const [key, peer] of peers) {
        peer.tick(now);
        if (peer.isIdle(now)) {
          peers.delete(key);
        }
      }
    }
  }

  /** Connects, or returns the connection already opening to the same address. */
  #connect(
    address: Address | undefined,
    name: DaemonName | undefined,
  ): Failure | SessionLink {
    const key = address === undefined ? '' : formatAddress(address);
    const opening = this.#connectingByAddress.get(key);
    if (opening !== undefined) {
      return opening;
    }
    const connected = this.#options.connect(address, name);
    if (!('result' in connected)) {
      this.#connectingByAddress.set(key, connected);
    }
    return connected;
  }

  #removeConnecting(link: SessionLink): void {
    for (const [key, other] of this.#connectingByAddress) {
      if (other === link) {
        this.#connectingByAddress.delete(key);
      }
    }
  }

  #getOrCreate(
    peers: Map<string, PeerSession>,
    key: string,
    connect: () => Failure | SessionLink,
  ): PeerSession {
    let peer = peers.get(key);
    if (peer === undefined) {
      const {limits, onMessageDropped, randomNumber} = this.#options;
      peer = new PeerSession({connect, limits, onMessageDropped, randomNumber});
      peers.set(key, peer);
    }
    return peer;
  }
}
