/** Services that the host provides to every subsystem of the daemon. */

import type Logger from 'bunyan';
import type {DaemonSettings} from 'jackdawcove-settings';
import type {
  Address,
  DaemonName,
  Incarnation,
  MonotonicClock,
  RandomNumber,
  Teardown,
  WallClock,
} from 'jackdawcove-shared';
import type {EventKind} from 'jackdawcove-timeline';

/** Channel of a message between daemons: the subsystem that handles it. */
export type ChannelName =
  | 'administration'
  | 'confirmation'
  | 'consensus'
  | 'ledger'
  | 'membership'
  | 'quarantine'
  | 'quota'
  | 'revision';

/** Sender of a message, authenticated by the handshake of its session. */
export type MessageSource = {
  readonly address: Address;
  readonly daemon: DaemonName;
};

/** Listener for the messages of one channel. */
export type MessageListener = (message: unknown, source: MessageSource) => void;

/** Sends messages to other daemons. Messages may be lost but are never altered. */
export type Messenger = {
  registerListener(channel: ChannelName, listener: MessageListener): Teardown;
  send(to: DaemonName, channel: ChannelName, message: unknown): void;
  /**
   * Sends a short message as a datagram, without opening a session; falls back to
   * a session if the message is too long for a datagram.
   */
  sendBrief(to: DaemonName, channel: ChannelName, message: unknown): void;
  sendDatagram(to: Address, channel: ChannelName, message: unknown): void;
  sendToAddress(to: Address, channel: ChannelName, message: unknown): void;
};

/** Fields of an event on the timeline. */
export type EventFields = Readonly<
  Record<string, boolean | number | string | undefined>
>;

/** Records an event on the daemon's timeline. */
export type RecordEvent = (kind: EventKind, fields?: EventFields) => void;

/**
 * How a routed request ended. Routes and services are names from the fleet
 * configuration, so the number of different values is bounded.
 */
export type RequestEnd = {
  /** `answered`, `answeredFailure` or a name of RESULT-CODES.md. */
  readonly result: string;
  readonly route: string;
  readonly service: string;
};

/** Counters, gauges and timings; timings are in milliseconds. */
export type Metrics = {
  /** Counts the end of a routed request by its route, service and result. */
  countEnd(end: RequestEnd): void;
  gauge(name: string, value: number): void;
  increment(name: string, count?: number): void;
  timing(name: string, milliseconds: number): void;
};

/** Calls a function at an interval until the returned teardown is called. */
export type RegisterTicker = (
  intervalMilliseconds: number,
  onTick: () => void,
) => Teardown;

/** Addresses that the daemon listens on; port 0 is resolved to the bound port. */
export type BoundAddresses = {
  readonly administration: Address;
  readonly caller: Address;
  readonly fleet: Address;
  readonly local: Address;
};

/** Clocks, log, messenger, metrics, timers and settings for the subsystems. */
export type DaemonHost = {
  readonly addresses: BoundAddresses;
  readonly clock: MonotonicClock;
  readonly incarnation: Incarnation;
  readonly log: Logger;
  readonly messenger: Messenger;
  readonly metrics: Metrics;
  readonly randomNumber: RandomNumber;
  readonly recordEvent: RecordEvent;
  readonly registerTicker: RegisterTicker;
  readonly settings: DaemonSettings;
  readonly wallClock: WallClock;
};
