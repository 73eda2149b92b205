/** UDP adapter for the datagrams of one daemon. */

import type {Datagram} from './DatagramCodec.js';
import type {ChannelName, DaemonIdentity, FleetKeys} from './SessionTypes.js';
import type {Address, Failure} from 'jackdawcove-shared';
import type {Socket} from 'node:dgram';

import {createSocket} from 'node:dgram';

import {DatagramCodec} from './DatagramCodec.js';

const IPV4_FAMILY = 4;
const IPV6_FAMILY = 6;

/** Options of an endpoint. */
export type DatagramEndpointOptions = {
  readonly fleetKeys: FleetKeys;
  readonly onDatagram: (datagram: Datagram, source: Address) => void;
  readonly onRejected: (failure: Failure, source: Address) => void;
  readonly onSent: (to: Address, kind: string, byteCount: number) => void;
  readonly self: DaemonIdentity;
};

/** Counters of an endpoint. */
export type DatagramCounts = {
  readonly received: number;
  readonly rejected: number;
  readonly sent: number;
};

/** Sends and receives authenticated datagrams. */
export class DatagramEndpoint {
  #address: Address | undefined;
  readonly #codec: DatagramCodec;
  readonly #options: DatagramEndpointOptions;
  #received = 0;
  #rejected = 0;
  #sent = 0;
  #socket: Socket | undefined;

  constructor(options: DatagramEndpointOptions) {
    this.#codec = new DatagramCodec(options.self, options.fleetKeys);
    this.#options = options;
  }

  /** Returns the counters. */
  getCounts(): DatagramCounts {
    return {
      received: this.#received,
      rejected: this.#rejected,
      sent: this.#sent,
    };
  }

  /** Sends a datagram; false if it is too long or the endpoint is closed. */
  send(to: Address, channel: ChannelName, message: unknown): boolean {
    const encoded = this.#codec.encode(to, channel, message);
    if (encoded.isErr || this.#socket === undefined) {
      return false;
    }
    this.#sent += 1;
    this.#options.onSent(to, `${channel}Datagram`, encoded.value.length);
    this.#socket.send(encoded.value, to.port, to.host, () => undefined);
    return true;
  }

  /** Listens on an address; other daemons send to the advertised one. */
  async start(address: Address, advertised: Address = address): Promise<void> {
    const isIpv6 = address.host.includes(':');
    const socket = createSocket({
      // Addresses are IP numbers; the resolver would take two more turns of the
      // event loop for each datagram.
      lookup: (host, _options, callback) => {
        callback(null, host, isIpv6 ? IPV6_FAMILY : IPV4_FAMILY);
      },
      type: isIpv6 ? 'udp6' : 'udp4',
    });
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(address.port, address.host, () => {
        socket.off('error', reject);
        resolve();
      });
    });
    this.#address = advertised;
    this.#socket = socket;
    socket.on('error', () => undefined);
    socket.on('message', (bytes, {address: host, port}) => {
      this.#receive(bytes, {host, port});
    });
  }

  /** Closes the socket. */
  async stop(): Promise<void> {
    const socket = this.#socket;
    this.#socket = undefined;
    if (socket !== undefined) {
      await new Promise<void>((resolve) => {
        socket.close(resolve);
      });
    }
  }

  #receive(bytes: Uint8Array, source: Address): void {
    if (this.#address === undefined) {
      return;
    }
    const decoded = this.#codec.decode(bytes, this.#address);
    if (decoded.isErr) {
      this.#rejected += 1;
      this.#options.onRejected(decoded.error, source);
      return;
    }
    this.#received += 1;
    this.#options.onDatagram(decoded.value, source);
  }
}
