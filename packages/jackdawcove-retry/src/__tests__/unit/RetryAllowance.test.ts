import fc from 'fast-check';
import t from 'tap';

import {RetryAllowance, RetryBudget} from '../../index.js';

const SEED = 5;

const LENDINGS: readonly (readonly [tokens: number, lent: number])[] = [
  [0, 0],
  [1, 1],
  [2, 1],
  [3, 2],
  [8, 4],
];

for (const [tokens, lent] of LENDINGS) {
  t.test(`of ${String(tokens)} tokens ${String(lent)} are lent`, async (t) => {
    const allowance = new RetryAllowance(tokens);
    t.equal(allowance.lend(), lent);
    t.equal(allowance.getAvailable(), tokens - lent);
  });
}

t.test('tokens are moved or lost, never created', async () => {
  const steps = fc.array(
    fc.record({
      kind: fc.constantFrom('lend', 'lose', 'return', 'spend'),
      pick: fc.nat(),
    }),
  );
  fc.assert(
    fc.property(fc.nat({max: 20}), steps, (total, moves) => {
      const allowance = new RetryAllowance(total);
      const lent: number[] = [];
      let spent = 0;
      for (const {kind, pick} of moves) {
        if (kind === 'lend') {
          lent.push(allowance.lend());
        } else if (kind === 'spend') {
          spent += allowance.spend() ? 1 : 0;
        } else {
          const [tokens] = lent.splice(pick % Math.max(1, lent.length), 1);
          allowance.reclaim(kind === 'return' ? (tokens ?? 0) : 0);
        }
      }
      const outstanding = lent.reduce((sum, tokens) => sum + tokens, 0);
      return allowance.getAvailable() + outstanding + spent <= total;
    }),
    {seed: SEED},
  );
});

t.test('a closed allowance takes no tokens back', async (t) => {
  const allowance = new RetryAllowance(4);
  const lent = allowance.lend();
  t.equal(allowance.close(), 2);
  allowance.reclaim(lent);
  t.equal(allowance.getAvailable(), 0);
  t.notOk(allowance.spend());
});

t.test('invalid token counts violate an invariant', async (t) => {
  t.throws(() => new RetryAllowance(-1), {code: 4});
  t.throws(
    () => {
      new RetryAllowance(1).reclaim(0.5);
    },
    {code: 4},
  );
});

t.test('a budget allows a share of the successes', async (t) => {
  const budget = new RetryBudget({maximumTokens: 2, tokensPerSuccess: 0.5});
  t.ok(budget.spend());
  t.ok(budget.spend());
  t.notOk(budget.spend());
  budget.recordSuccess();
  t.notOk(budget.spend());
  budget.recordSuccess();
  t.ok(budget.spend());
  budget.refund();
  t.equal(budget.getTokens(), 1);
});
