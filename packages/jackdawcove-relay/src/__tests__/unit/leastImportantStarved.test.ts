import t from 'tap';

import {CallGraphPlay} from '../CallGraphPlay.js';

/** A kind of request must be served at least so many times as often as all requests. */
const MINIMUM_RATIO = 0.25;

/** Demand relative to the slots of the service in which all calls end. */
const DEMANDS = [1.2, 1.6, 2, 2.4, 3, 4];

for (const demand of DEMANDS) {
  for (const seed of [1, 2, 3]) {
    t.test(
      `no kind starves at ${String(demand)} times the slots, seed ${String(seed)}`,
      async (t) => {
        const play = new CallGraphPlay(demand, seed);
        play.run();
        let allAsked = 0;
        let allServed = 0;
        for (const {asked, served} of play.counts.values()) {
          allAsked += asked;
          allServed += served;
        }
        for (const [name, {asked, served}] of play.counts) {
          const ratio = served / asked / (allServed / allAsked);
          const share = (served / asked).toFixed(3);
          t.ok(
            ratio >= MINIMUM_RATIO,
            `${name}: ${share} served, ${ratio.toFixed(2)} times as often as all`,
          );
        }
      },
    );
  }
}
