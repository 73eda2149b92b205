/** Sessions of one daemon by the name, or before it is known the address, of the other. */

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

/** What the sessions need. */
export type PeerSessionsOptions = {
  readonly connect: (
    address: Address | undefined,
    name: DaemonName | undefined,
  ) => Failure | SessionLink;
  readonly limits: SessionLimits;
  readonly onMessageDropped: () => void;
  readonly randomNumber: RandomNumber;
  readonly resolveAddress: (name: DaemonName) => Address | undefined;
};

/** Finds, creates and forgets the peers of a daemon. */
export class PeerSessions {
  readonly #byAddress = new Map<string, PeerSession>();
  readonly #byName = new Map<DaemonName, PeerSession>();
  readonly #connecting = new Map<string, SessionLink>();
  readonly #names = new Map<string, DaemonName>();
  readonly #options: PeerSessionsOptions;

  constructor(options: PeerSessionsOptions) {
    this.#options = options;
  }

  /**
   * Returns why a session that the other end opens is not wanted, or undefined.
   * Of two daemons that connect at once, the one with the lesser name wins; an
   * earlier process never replaces a later one.
   */
  getRefusal(greeting: Greeting, ownName: DaemonName): Failure | undefined {
    const peer = this.#byName.get(greeting.name);
    const isOurs = peer?.isConnecting() === true && ownName < greeting.name;
    const current = peer?.getLink()?.core.getPeer()?.incarnation ?? 0;
    return isOurs || current > greeting.incarnation
      ? createFailure('sessionSuperseded')
      : undefined;
  }

  /** Stops using a session for new calls. */
  abandon(link: SessionLink): void {
    const name = link.core.getPeer()?.name;
    if (name !== undefined) {
      this.#byName.get(name)?.abandon(link);
    }
  }

  /** Takes an established session. */
  adopt(link: SessionLink, greeting: Greeting, now: Milliseconds): void {
    const key = formatAddress(greeting.address);
    const peer = this.get(greeting.name);
    this.#names.set(key, greeting.name);
    this.#forgetConnecting(link);
    peer.adopt(link);
    for (const [otherKey, other] of this.#byAddress) {
      if (otherKey === key || other.isConnectingBy(link)) {
        this.#byAddress.delete(otherKey);
        other.moveTo(link);
      }
    }
    for (const other of this.#byName.values()) {
      if (other.isConnectingBy(link)) {
        const found = createFailure('daemonUnreachable', greeting.name);
        other.handleClosed(link, found, now);
      }
    }
  }

  /** Finds or creates the peer of a name. */
  get(name: DaemonName): PeerSession {
    return this.#getOrCreate(this.#byName, name, () =>
      this.#connect(this.#options.resolveAddress(name), name),
    );
  }

  /** Finds or creates the peer at an address. */
  getAt(address: Address): PeerSession {
    const key = formatAddress(address);
    const name = this.#names.get(key);
    if (name !== undefined && this.#byName.get(name)?.getLink() !== undefined) {
      return this.get(name);
    }
    return this.#getOrCreate(this.#byAddress, key, () =>
      this.#connect(address, undefined),
    );
  }

  /** Notes that a session closed. */
  handleClosed(link: SessionLink, failure: Failure, now: Milliseconds): void {
    const name = link.core.getPeer()?.name;
    if (name !== undefined) {
      this.#byName.get(name)?.handleClosed(link, failure, now);
      return;
    }
    this.#forgetConnecting(link);
    for (const peers of [this.#byAddress, this.#byName]) {
      for (const peer of peers.values()) {
        peer.handleClosed(link, failure, now);
      }
    }
  }

  /** Fails everything that waits. */
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

  /** Connects, or joins a connection to the same address that is opening. */
  #connect(
    address: Address | undefined,
    name: DaemonName | undefined,
  ): Failure | SessionLink {
    const key = address === undefined ? '' : formatAddress(address);
    const opening = this.#connecting.get(key);
    if (opening !== undefined) {
      return opening;
    }
    const connected = this.#options.connect(address, name);
    if (!('result' in connected)) {
      this.#connecting.set(key, connected);
    }
    return connected;
  }

  #forgetConnecting(link: SessionLink): void {
    for (const [key, other] of this.#connecting) {
      if (other === link) {
        this.#connecting.delete(key);
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
