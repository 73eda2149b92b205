import t from 'tap';

import {TestFleet} from '../TestFleet.js';

t.test('a call runs and returns its retry tokens', async (t) => {
  const fleet = new TestFleet({daemons: ['a', 'b']});
  const [send] = fleet.begin('a', 'a.1');
  const [dispatch] = fleet.deliver('a', send);
  t.equal(dispatch?.kind, 'dispatch');
  if (send?.kind !== 'sendAttempt') {
    return;
  }
  t.equal(send.attempt.tokensLent, 1);
  const {attemptIdentifier} = send.attempt;
  const [end] = fleet
    .get(send.daemon)
    .serverSide.handle({attemptIdentifier, kind: 'backendAnswered'}, 10);
  t.match(end, {end: {result: 'ok', tokensReturned: 1}, kind: 'endAnswer'});
  t.match(fleet.reply(end), [
    {attempts: 1, executed: 'yes', kind: 'finish', result: 'ok'},
  ]);
});
