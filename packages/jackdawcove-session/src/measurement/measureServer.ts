/** Server side of the call measurement, run in a separate process. */

import type {AddressInfo} from 'node:net';

import {randomBytes} from 'node:crypto';
import {createServer} from 'node:net';

import {
  answerCall,
  BODY_BYTES,
  createPool,
  readProcessorMilliseconds,
} from './measurementFixtures.js';

const body = randomBytes(BODY_BYTES);
const pool = createPool('server', new Map());
pool.registerCallListener((incoming) => {
  answerCall(incoming, body);
});
pool.registerListener('measurement', () => undefined);
const address = await pool.start();

const echo = createServer({noDelay: true}, (socket) => {
  socket.on('data', (bytes) => socket.write(bytes));
  socket.on('error', () => undefined);
});
await new Promise<void>((resolve) => {
  echo.listen(0, '127.0.0.1', resolve);
});

process.on('disconnect', () => {
  process.exit();
});
process.on('message', () => {
  process.send?.({processorMilliseconds: readProcessorMilliseconds()});
});
process.send?.({
  address,
  echoPort: (echo.address() as AddressInfo).port,
});
