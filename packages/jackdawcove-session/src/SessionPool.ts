/** Sessions of one daemon with all others. */

import type {CallListener} from './AttemptServer.js';
import type {DatagramEndpoint} from './DatagramEndpoint.js';
import type {Greeting} from './Handshake.js';
import type {OutgoingOperation} from './OutgoingCallRecord.js';
import type {SessionLinkOwner} from './SessionLink.js';
import type {CallHead} from './SessionSchemas.js';
import type {
  AttemptIdentifier,
  ChannelName,
  MessageListener,
  MessageSource,
  OutgoingCall,
  OutgoingCallHandlers,
  PacketListener,
  PacketOptions,
  ResolutionHandlers,
  SessionLimits,
  SessionPoolOptions,
  SessionStatistics,
  SessionSwitches,
} from './SessionTypes.js';
import type {
  Address,
  DaemonName,
  Failure,
  Incarnation,
  Milliseconds,
  Teardown,
} from 'jackdawcove-shared';
import type {Server, Socket} from 'node:net';

import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';

import {createFailure, invariant} from 'jackdawcove-shared';

import {AttemptServer} from './AttemptServer.js';
import {ChannelListeners} from './ChannelListeners.js';
import {createDatagramEndpoint} from './createDatagramEndpoint.js';
import {createLinkOwner} from './createLinkOwner.js';
import {IdleCloser} from './IdleCloser.js';
import {LostAttempts} from './LostAttempts.js';
import {OutgoingCallRecord} from './OutgoingCallRecord.js';
import {PacketDispatcher} from './PacketDispatcher.js';
import {PeerSessionRegistry} from './PeerSessionRegistry.js';
import {type SentByteCount, SentBytes} from './SentBytes.js';
import {
  DEFAULT_LIMITS,
  DEFAULT_SWITCHES,
  MAXIMUM_HANDSHAKES,
  NONCE_BYTES,
  PROTOCOL_VERSION,
  RESOLUTION_TIMEOUT_MILLISECONDS,
  TICK_INTERVAL_MILLISECONDS,
} from './SessionConstants.js';
import {SessionCore} from './SessionCore.js';
import {SessionLink} from './SessionLink.js';
import {
  closeServer,
  countPendingHandshakes,
  getLocalAddress,
  listenOnTcpAndUdp,
  registerTimer,
} from './SessionUtils.js';
import {StatisticsRecorder} from './StatisticsRecorder.js';

/**
 * Keeps at most one session per pair of daemons and transports calls, messages
 * and datagrams between them.
 *
 * @example
 * const pool = new SessionPool({clock, fleetKeys, listen, onEvent, randomNumber, resolveAddress, self});
 * const address = await pool.start();
 */
export class SessionPool {
  #address: Address | undefined;
  readonly #datagrams: DatagramEndpoint;
  readonly #idleCloser: IdleCloser;
  #isStopping = false;
  readonly #limits: SessionLimits;
  readonly #links = new Set<SessionLink>();
  readonly #listeners = new ChannelListeners();
  readonly #lostAttempts = new LostAttempts();
  readonly #options: SessionPoolOptions;
  readonly #linkOwner: SessionLinkOwner;
  readonly #packetDispatcher = new PacketDispatcher();
  readonly #peers: PeerSessionRegistry;
  readonly #attempts: AttemptServer;
  readonly #sentBytes = new SentBytes();
  readonly #statistics = new StatisticsRecorder();
  readonly #switches: SessionSwitches;
  #tcpServer: Server | undefined;
  #stopTicker: Teardown | undefined;

  constructor(options: SessionPoolOptions) {
    this.#limits = {...DEFAULT_LIMITS, ...options.limits};
    this.#switches = {...DEFAULT_SWITCHES, ...options.switches};
    this.#options = options;
    this.#datagrams = createDatagramEndpoint(
      options,
      this.#sentBytes,
      (...received) => {
        this.#deliver(...received);
      },
    );
    this.#attempts = new AttemptServer({
      clock: options.clock,
      getSource: (link) => link.getSource(),
      limits: this.#limits,
      self: options.self,
      switches: this.#switches,
    });
    this.#linkOwner = createLinkOwner({
      attempts: this.#attempts,
      clock: options.clock,
      onClosed: (link, failure) => {
        this.#handleClosed(link, failure);
      },
      onEstablished: (link, greeting) => {
        this.#handleEstablished(link, greeting);
      },
      onMessage: (...received) => {
        this.#deliver(...received);
      },
      packetDispatcher: this.#packetDispatcher,
      sentBytes: this.#sentBytes,
    });
    this.#peers = new PeerSessionRegistry({
      connect: (address, name) => this.#connect(address, name),
      limits: this.#limits,
      onMessageDropped: () => {
        this.#statistics.countDroppedMessage();
      },
      randomNumber: options.randomNumber,
      resolveAddress: options.resolveAddress,
    });
    this.#idleCloser = new IdleCloser(this.#peers, this.#limits);
  }

  /** Returns counts and sizes. */
  getStatistics(): SessionStatistics {
    return this.#statistics.getStatistics(
      this.#links,
      this.#datagrams.getCounts(),
      this.#attempts.getHeldAnswerCount(),
    );
  }

  /** Returns the bytes sent since the last call. */
  takeSentBytes(): readonly SentByteCount[] {
    return this.#sentBytes.take();
  }

  /**
   * Opens a call; connects first if no session is open. No handler is called
   * before this method returns.
   */
  openCall(
    to: DaemonName,
    head: CallHead,
    handlers: OutgoingCallHandlers,
  ): OutgoingCall {
    return this.#open(
      to,
      head.attemptIdentifier,
      {head, kind: 'call'},
      handlers,
      head.remainingMilliseconds,
    );
  }

  /** Registers the listener for calls from other daemons; only one is allowed. */
  registerCallListener(listener: CallListener): Teardown {
    return this.#attempts.registerListener(listener);
  }

  /** Registers the listener for the messages of a channel; only one is allowed. */
  registerListener(channel: ChannelName, listener: MessageListener): Teardown {
    return this.#listeners.register(channel, listener);
  }

  /** Flushes sessions now instead of at the end of this event loop turn. */
  flush(): void {
    for (const link of this.#links) {
      link.flushIfScheduled();
    }
  }

  /** Registers the listener for packets; only one is allowed. */
  registerPacketListener(listener: PacketListener): Teardown {
    return this.#packetDispatcher.register(listener);
  }

  /**
   * Sends a packet on the open session with a daemon. Without an open session
   * it sends nothing, tries to open one and returns false. A packet for one process
   * of the daemon is not sent to another one.
   *
   * @example
   * if (!pool.sendPacket('vm-2', bytes, {kind: 'offer'})) waitUntilOpened('vm-2');
   */
  sendPacket(
    to: DaemonName,
    bytes: Uint8Array,
    {incarnation, kind = 'packet'}: PacketOptions = {},
  ): boolean {
    const now = this.#options.clock();
    const peer = this.#peers.getByName(to);
    const isSent = peer.sendPacket(bytes, now, incarnation);
    if (isSent) {
      this.#sentBytes.add(to, kind, bytes.length);
    }
    return isSent;
  }

  /** Returns the process of a daemon that has the open session, or undefined. */
  getPeerIncarnation(name: DaemonName): Incarnation | undefined {
    return this.#peers.getByName(name).getLink()?.core.getPeer()?.incarnation;
  }

  /**
   * Asks a daemon for the outcome of a lost attempt, on a new session if the
   * old one has closed. Without an answer in time the resolution is `unknown`.
   */
  resolveAttempt(
    to: DaemonName,
    attemptIdentifier: AttemptIdentifier,
    handlers: ResolutionHandlers,
  ): OutgoingCall {
    const now = this.#options.clock();
    return this.#open(
      to,
      attemptIdentifier,
      this.#lostAttempts.createResolveOperation(to, attemptIdentifier, now),
      handlers,
      RESOLUTION_TIMEOUT_MILLISECONDS,
    );
  }

  /** Sends a message, which may be lost but is never altered. */
  send(to: Address | DaemonName, channel: ChannelName, message: unknown): void {
    const now = this.#options.clock();
    const peer =
      typeof to === 'string'
        ? this.#peers.getByName(to)
        : this.#peers.getByAddress(to);
    peer.sendMessage(channel, message, now);
  }

  /** Sends a message as one authenticated datagram of at most 1,400 bytes. */
  sendDatagram(to: Address, channel: ChannelName, message: unknown): boolean {
    return this.#datagrams.send(to, channel, message);
  }

  /** Listens on TCP and UDP and returns the bound address. */
  async start(): Promise<Address> {
    const {address, server} = await listenOnTcpAndUdp(
      this.#options.listen,
      (socket) => {
        this.#accept(socket);
      },
      (bound) =>
        this.#datagrams.start(bound, this.#options.advertisedAddress ?? bound),
    );
    const {advertisedAddress, registerTicker = registerTimer} = this.#options;
    this.#address = advertisedAddress ?? address;
    this.#tcpServer = server;
    this.#stopTicker = registerTicker(TICK_INTERVAL_MILLISECONDS, () => {
      this.#tick();
    });
    return address;
  }

  /** Closes every session and listener. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    this.#stopTicker?.();
    const failure = createFailure('sessionClosed', 'the daemon stops');
    this.#peers.stop(failure);
    for (const link of [...this.#links]) {
      link.close(failure);
    }
    await this.#datagrams.stop();
    await closeServer(this.#tcpServer);
  }

  #accept(socket: Socket): void {
    const handshakes = countPendingHandshakes(this.#links);
    if (this.#isStopping || handshakes >= MAXIMUM_HANDSHAKES) {
      socket.destroy();
      return;
    }
    this.#createLink(socket, undefined, false);
  }

  #connect(
    address: Address | undefined,
    name: DaemonName | undefined,
  ): Failure | SessionLink {
    if (address === undefined || this.#isStopping) {
      return createFailure('daemonUnreachable', name);
    }
    const socket = connect({
      ...address,
      ...getLocalAddress(this.#options.listen.host, address),
    });
    return this.#createLink(socket, name, true);
  }

  #createLink(
    socket: Socket,
    expectedName: DaemonName | undefined,
    isInitiator: boolean,
  ): SessionLink {
    const {clock, fleetKeys, self} = this.#options;
    invariant(this.#address !== undefined, 12, 'not started');
    const core = new SessionCore({
      expectedName,
      fleetKeys,
      getPeerRefusal: (peer) =>
        this.#isStopping
          ? createFailure('daemonDraining')
          : this.#peers.getPeerRefusal(peer, self.name),
      limits: this.#limits,
      now: clock(),
      role: isInitiator ? 'initiator' : 'acceptor',
      self: {
        ...self,
        address: this.#address,
        nonce: randomBytes(NONCE_BYTES),
        version: PROTOCOL_VERSION,
      },
      switches: this.#switches,
    });
    const link = new SessionLink(core, socket, isInitiator, this.#linkOwner);
    this.#links.add(link);
    link.applyEffects(core.start());
    return link;
  }

  #deliver(channel: string, message: unknown, source: MessageSource): void {
    if (!this.#listeners.deliver(channel, message, source)) {
      this.#statistics.countDroppedMessage();
    }
  }

  #handleClosed(link: SessionLink, failure: Failure): void {
    const now = this.#options.clock();
    const peer = link.core.getPeer();
    this.#links.delete(link);
    this.#statistics.recordClosed(link);
    this.#options.onEvent({failure, kind: 'sessionClosed', peer: peer?.name});
    this.#peers.handleClosed(link, failure, now);
    this.#attempts.handleClosed(link);
    this.#lostAttempts.addCalls(link, now);
    link.failOutgoing(failure);
    this.#packetDispatcher.reportSessionLost(peer?.name);
  }

  #handleEstablished(link: SessionLink, greeting: Greeting): void {
    const {incarnation: peerIncarnation, name: peer} = greeting;
    this.#options.onEvent({kind: 'sessionOpened', peer, peerIncarnation});
    this.#peers.handleEstablished(link, greeting, this.#options.clock());
    this.#packetDispatcher.reportSessionOpened(peer);
  }

  #open(
    to: DaemonName,
    attemptIdentifier: AttemptIdentifier,
    operation: OutgoingOperation,
    handlers: OutgoingCallHandlers | ResolutionHandlers,
    timeoutMilliseconds: Milliseconds,
  ): OutgoingCall {
    const now = this.#options.clock();
    const record = new OutgoingCallRecord(
      attemptIdentifier,
      operation,
      handlers,
      {createdAt: now, expiresAt: now + timeoutMilliseconds},
    );
    this.#peers.getByName(to).openCall(record, now);
    return record;
  }

  #tick(): void {
    const now = this.#options.clock();
    for (const link of this.#links) {
      link.applyEffects(link.core.tick(now));
    }
    this.#peers.tick(now);
    this.#attempts.tick();
    this.#lostAttempts.expire(now);
    this.#idleCloser.tick(this.#links, now);
  }
}
