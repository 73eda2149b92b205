import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {TickerRegistry} from '../../host/TickerRegistry.js';

const CASES = [
  {intervalMilliseconds: 10, name: 'a short interval has a dedicated timer'},
  {
    intervalMilliseconds: 50,
    name: 'an interval of 50 ms uses the shared timer',
  },
  {
    intervalMilliseconds: 150,
    name: 'a longer interval runs on every third tick of the shared timer',
  },
];

for (const {intervalMilliseconds, name} of CASES) {
  t.test(name, async (t) => {
    const tickers = new TickerRegistry(() => performance.now());
    let ticks = 0;
    const ticked = new Promise<void>((resolve) => {
      const teardown = tickers.register(intervalMilliseconds, () => {
        ticks += 1;
        if (ticks === 2) {
          teardown();
          resolve();
        }
      });
    });
    await ticked;
    await delay(3 * intervalMilliseconds);
    t.equal(ticks, 2, 'no tick after the teardown');
    tickers.clear();
  });
}

t.test('no ticks after clear', async (t) => {
  const tickers = new TickerRegistry(() => performance.now());
  let ticks = 0;
  tickers.register(10, () => (ticks += 1));
  tickers.register(50, () => (ticks += 1));
  tickers.clear();
  await delay(120);
  t.equal(ticks, 0);
});
