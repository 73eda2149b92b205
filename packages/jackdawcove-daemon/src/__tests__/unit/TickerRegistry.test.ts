import {setTimeout as delay} from 'node:timers/promises';

import t from 'tap';

import {TickerRegistry} from '../../host/TickerRegistry.js';

const CASES = [
  {intervalMilliseconds: 10, name: 'a timer of its own'},
  {intervalMilliseconds: 50, name: 'the shared timer'},
  {intervalMilliseconds: 150, name: 'every third time of the shared timer'},
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

t.test('nothing ticks after clear', async (t) => {
  const tickers = new TickerRegistry(() => performance.now());
  let ticks = 0;
  tickers.register(10, () => (ticks += 1));
  tickers.register(50, () => (ticks += 1));
  tickers.clear();
  await delay(120);
  t.equal(ticks, 0);
});
