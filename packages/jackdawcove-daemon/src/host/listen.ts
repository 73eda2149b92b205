/** Binding of a server to an address. */

import type {Address} from 'jackdawcove-shared';
import type {Server} from 'node:net';

/** Address to listen on; port 0 selects a free port. */
export type ListenAddress = {
  readonly host: string;
  readonly port: number;
};

/**
 * Listens and returns the bound address; rejects if the address is in use.
 *
 * @example
 * const address = await listen(server, {host: '127.0.0.1', port: 0});
 */
export async function listen(
  server: Server,
  {host, port}: ListenAddress,
): Promise<Address> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  const bound = server.address();
  return {
    host,
    port: typeof bound === 'object' && bound ? bound.port : port,
  };
}
