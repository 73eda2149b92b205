/** Counts what a process sends and receives over TCP and UDP, by socket. */

import type {Socket as DatagramSocket, RemoteInfo} from 'node:dgram';
import type {Socket} from 'node:net';

import {subscribe} from 'node:diagnostics_channel';

import {z} from 'zod';

/** Schema of the traffic of one process since its start. */
export const trafficSchema = z.object({
  datagramBytesReceived: z.number(),
  datagramBytesSent: z.number(),
  datagramsReceived: z.number(),
  datagramsSent: z.number(),
  streamBytesReceived: z.number(),
  streamBytesSent: z.number(),
});

/** Traffic of one process since its start. */
export type Traffic = z.infer<typeof trafficSchema>;

const CLIENT_SOCKET_CHANNEL = 'net.client.socket';
const SERVER_SOCKET_CHANNEL = 'net.server.socket';
const DATAGRAM_SOCKET_CHANNEL = 'udp.socket';

/** Counts the traffic of sockets that are opened after its start. */
export class TrafficCounter {
  readonly #open = new Set<Socket>();
  #datagramBytesReceived = 0;
  #datagramBytesSent = 0;
  #datagramsReceived = 0;
  #datagramsSent = 0;
  #closedBytesReceived = 0;
  #closedBytesSent = 0;

  /**
   * Starts to count; call it before the first socket is opened.
   *
   * @example
   * new TrafficCounter().start();
   */
  start(): void {
    for (const channel of [CLIENT_SOCKET_CHANNEL, SERVER_SOCKET_CHANNEL]) {
      subscribe(channel, (message) => {
        this.#addStream((message as {socket: Socket}).socket);
      });
    }
    subscribe(DATAGRAM_SOCKET_CHANNEL, (message) => {
      this.#addDatagrams((message as {socket: DatagramSocket}).socket);
    });
  }

  /** Traffic so far, without the headers of TCP, UDP and IP. */
  getTraffic(): Traffic {
    const open = [...this.#open];
    return {
      datagramBytesReceived: this.#datagramBytesReceived,
      datagramBytesSent: this.#datagramBytesSent,
      datagramsReceived: this.#datagramsReceived,
      datagramsSent: this.#datagramsSent,
      streamBytesReceived: open.reduce(
        (sum, {bytesRead}) => sum + bytesRead,
        this.#closedBytesReceived,
      ),
      streamBytesSent: open.reduce(
        (sum, {bytesWritten}) => sum + bytesWritten,
        this.#closedBytesSent,
      ),
    };
  }

  #addStream(socket: Socket): void {
    this.#open.add(socket);
    socket.once('close', () => {
      this.#open.delete(socket);
      this.#closedBytesReceived += socket.bytesRead;
      this.#closedBytesSent += socket.bytesWritten;
    });
  }

  #addDatagrams(socket: DatagramSocket): void {
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
