/** Peers of the memory measurement, run in a separate process. */

import type {Address} from 'jackdawcove-shared';

import {createPool} from './measurementFixtures.js';

const count = Number(process.argv[2]);
const addresses: (readonly [string, Address])[] = [];
for (let index = 0; index < count; index += 1) {
  const name = `peer-${String(index)}`;
  const pool = createPool(name, new Map());
  pool.registerCallListener((incoming) => {
    incoming.accept({
      onBody: () => undefined,
      onCancel: () => undefined,
      onEnd: () => undefined,
    });
  });
  pool.registerListener('measurement', () => undefined);
  addresses.push([name, await pool.start()]);
}
process.on('disconnect', () => {
  process.exit();
});
process.send?.(addresses);
