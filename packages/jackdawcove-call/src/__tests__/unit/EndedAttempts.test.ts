import t from 'tap';

import {EndedAttempts} from '../../EndedAttempts.js';

const REFUSED = {kind: 'refused'} as const;
const MINUTE_MILLISECONDS = 60_000;

t.test(
  'isCompleteSince reflects which attempts are still recorded',
  async (t) => {
    const ended = new EndedAttempts(0);
    ended.add('first', REFUSED, 1);
    t.ok(ended.isCompleteSince(0));
    ended.add('second', REFUSED, MINUTE_MILLISECONDS);
    t.ok(ended.get('first'), 'kept for one more generation');
    t.ok(ended.isCompleteSince(0));
    ended.add('third', REFUSED, 2 * MINUTE_MILLISECONDS);
    t.notOk(ended.get('first'));
    t.ok(ended.get('second'));
    t.notOk(
      ended.isCompleteSince(MINUTE_MILLISECONDS),
      'a query may have been in transit',
    );
    t.ok(ended.isCompleteSince(MINUTE_MILLISECONDS + 10_000));
  },
);

t.test('a fence is kept longer than ended attempts', async (t) => {
  const ended = new EndedAttempts(0);
  ended.fence('late', 0);
  ended.add('other', REFUSED, 5 * MINUTE_MILLISECONDS);
  ended.add('another', REFUSED, 10 * MINUTE_MILLISECONDS);
  t.match(ended.get('late'), {kind: 'fenced'});
  ended.fence('next', 15 * MINUTE_MILLISECONDS);
  t.notOk(ended.get('late'), 'expires after 15 minutes');
});
