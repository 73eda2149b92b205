/** Process of one end of the floor; its first message says which one. */

import {addressSchema} from 'jackdawcove-shared';
import {match} from 'ts-pattern';
import {z} from 'zod';

import {startFloorBack} from './startFloorBack.js';
import {startFloorFront} from './startFloorFront.js';

const listenSchema = z.object({host: z.string(), port: z.int().min(0)});

/** Schema of the message that starts an end of the floor. */
const floorStartSchema = z.discriminatedUnion('kind', [
  z.object({
    backendServer: addressSchema,
    connections: z.int().min(1),
    kind: z.literal('back'),
    listen: listenSchema,
  }),
  z.object({
    back: addressSchema,
    kind: z.literal('front'),
    listen: listenSchema,
  }),
]);

async function start(message: unknown): Promise<void> {
  const {address} = await match(floorStartSchema.parse(message))
    .with({kind: 'back'}, startFloorBack)
    .with({kind: 'front'}, startFloorFront)
    .exhaustive();
  process.send?.({address, kind: 'started'});
}

process.once('message', (message) => {
  void start(message);
});
process.on('disconnect', () => {
  process.exit(0);
});
