import {assert, constantFrom, property, uniqueArray} from 'fast-check';
import t from 'tap';

import {getPushChildren} from '../../PushTree.js';

const NAMES = Array.from({length: 60}, (_, position) => `d${String(position)}`);
const FAN_OUT = 4;

t.test('the push tree reaches each daemon exactly once', async (t) => {
  const names = uniqueArray(constantFrom(...NAMES), {minLength: 1});
  assert(
    property(names, (daemons) => {
      const [root = ''] = daemons;
      const reached = [root];
      for (const daemon of reached) {
        const children = getPushChildren(daemons, root, daemon);
        reached.push(...children);
        if (children.length > FAN_OUT) {
          return false;
        }
      }
      return (
        reached.length === daemons.length &&
        new Set(reached).size === daemons.length
      );
    }),
    {seed: 1},
  );
  t.pass();
});
