/** Helpers of both pass-through proxies. */

import type {PassthroughHeaders} from './PassthroughFrames.js';
import type {Address} from 'jackdawcove-shared';
import type {IncomingHttpHeaders} from 'node:http';
import type {Server} from 'node:net';

/** A started pass-through proxy. */
export type PassthroughProxy = {
  readonly address: Address;
  readonly stop: () => Promise<void>;
};

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'host',
  'keep-alive',
  'transfer-encoding',
]);

/** Closes a server and waits until it is closed. */
export async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
  });
}

/** Starts to listen and returns the bound address. */
export async function listenOn(
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

/** Returns the end-to-end headers, without the hop-by-hop headers. */
export function selectEndToEndHeaders(
  headers: IncomingHttpHeaders,
): PassthroughHeaders {
  return Object.entries(headers).flatMap(([name, value]) =>
    HOP_BY_HOP_HEADERS.has(name) || value === undefined
      ? []
      : [value].flat().flatMap((item) => [name, item]),
  );
}
