/** Helpers of both ends of the floor. */

import type {FloorHeaders} from './FloorFrames.js';
import type {Address} from 'jackdawcove-shared';
import type {IncomingHttpHeaders} from 'node:http';
import type {Server} from 'node:net';

/** A started end of the floor. */
export type FloorEnd = {
  readonly address: Address;
  readonly stop: () => Promise<void>;
};

const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'host',
  'keep-alive',
  'transfer-encoding',
]);

/** Closes a server and waits until it is closed. */
export async function closeFloorServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}

/** Listens and returns the bound address. */
export async function listenFloorServer(
  server: Server,
  listen: {readonly host: string; readonly port: number},
): Promise<Address> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const bound = server.address();
  const port = typeof bound === 'object' ? bound?.port : undefined;
  return {host: listen.host, port: port ?? listen.port};
}

/** Selects the headers that go from end to end. */
export function selectEndHeaders(headers: IncomingHttpHeaders): FloorHeaders {
  return Object.entries(headers).flatMap(([name, value]) =>
    HOP_HEADERS.has(name) || value === undefined
      ? []
      : [value].flat().flatMap((item) => [name, item]),
  );
}
