/** Process of one pass-through proxy; the first message selects its side. */

import {addressSchema} from 'jackdawcove-shared';
import {match} from 'ts-pattern';
import {z} from 'zod';

import {startCallerSideProxy} from './startCallerSideProxy.js';
import {startServerSideProxy} from './startServerSideProxy.js';

const listenSchema = z.object({host: z.string(), port: z.int().min(0)});

/** Schema of the message that starts a pass-through proxy. */
const passthroughStartSchema = z.discriminatedUnion('kind', [
  z.object({
    backendServer: addressSchema,
    connections: z.int().min(1),
    kind: z.literal('serverSide'),
    listen: listenSchema,
  }),
  z.object({
    kind: z.literal('callerSide'),
    listen: listenSchema,
    serverProxy: addressSchema,
  }),
]);

async function start(message: unknown): Promise<void> {
  const {address} = await match(passthroughStartSchema.parse(message))
    .with({kind: 'serverSide'}, startServerSideProxy)
    .with({kind: 'callerSide'}, startCallerSideProxy)
    .exhaustive();
  process.send?.({address, kind: 'started'});
}

process.once('message', (message) => {
  void start(message);
});
process.on('disconnect', () => {
  process.exit(0);
});
