/** Counts the bytes and datagrams that a process sends and receives over TCP and UDP. */

import type {Socket as DatagramSocket, RemoteInfo} from 'node:dgram';
import type {Socket} from 'node:net';

import {subscribe} from 'node:diagnostics_channel';

import {z} from 'zod';

/** Schema of the traffic of one process since counting started. */
export const trafficSchema = z.object({
  datagramBytesReceived: z.number(),
  datagramBytesSent: z.number(),
  datagramsReceived: z.number(),
  datagramsSent: z.number(),
  streamBytesReceived: z.number(),
  streamBytesSent: z.number(),
});

/** Traffic of one process since counting started. */
export type Traffic = z.infer<typeof trafficSchema>;

const CLIENT_SOCKET_CHANNEL = 'net.client.socket';
const SERVER_SOCKET_CHANNEL = 'net.server.socket';
const DATAGRAM_SOCKET_CHANNEL = 'udp.socket';

/** Counts the traffic of sockets that are opened after `start`. */
export class TrafficCounter {
  readonly #openSockets = new Set<Socket>();
  #datagramBytesReceived = 0;
  #datagramBytesSent = 0;
  #datagramsReceived = 0;
  #datagramsSent = 0;
  #closedBytesReceived = 0;
  #closedBytesSent = 0;

  /**
   * Starts counting; call it before the process opens its first socket.
   *
   * @example
   * new TrafficCounter().start();
   */
  start(): void {
    for (const channel of [CLIENT_SOCKET_CHANNEL, SERVER_SOCKET_CHANNEL]) {
      subscribe(channel, (message) => {
        this.#countStream((message as {socket: Socket}).socket);
      });
    }
    subscribe(DATAGRAM_SOCKET_CHANNEL, (message) => {
      this.#countDatagrams((message as {socket: DatagramSocket}).socket);
    });
  }

  /** Returns the traffic so far, without TCP, UDP and IP headers. */
  getTraffic(): Traffic {
    const openSockets = [...this.#openSockets];
    return {
      datagramBytesReceived: this.#datagramBytesReceived,
      datagramBytesSent: this.#datagramBytesSent,
      datagramsReceived: this.#datagramsReceived,
      datagramsSent: this.#datagramsSent,
      streamBytesReceived: openSockets.reduce(
        (sum, {bytesRead}) => sum + bytesRead,
        this.#closedBytesReceived,
      ),
      streamBytesSent: openSockets.reduce(
        (sum, {bytesWritten}) => sum + bytesWritten,
        this.#closedBytesSent,
      ),
    };
  }

  #countStream(socket: Socket): void {
    this.#openSockets.add(socket);
    socket.once('close', () => {
      this.#openSockets.delete(socket);
      this.#closedBytesReceived += socket.bytesRead;
      this.#closedBytesSent += socket.bytesWritten;
    });
  }

  #countDatagrams(socket: DatagramSocket): void {
    socket.on('message', (_bytes: Buffer, {size}: RemoteInfo) => {
      this.#datagramsReceived += 1;
      this.#datagramBytesReceived += size;
    });
    const send = socket.send.bind(socket) as (...values: unknown[]) => void;
    const countAndSend = (...values: unknown[]): void => {
      this.#datagramsSent += 1;
      this.#datagramBytesSent += (values[0] as Uint8Array).byteLength;
      send(...values);
    };
    socket.send = countAndSend as DatagramSocket['send'];
  }
}
