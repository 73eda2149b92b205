import t from 'tap';

import {getResultCode, RESULT_CODES} from '../../index.js';

t.test('numbers are unique and can be looked up', async (t) => {
  const numbers = new Set<number>();
  for (const code of Object.values(RESULT_CODES)) {
    t.notOk(numbers.has(code.number), `${code.name} has a unique number`);
    numbers.add(code.number);
    t.equal(getResultCode(code.number), code);
  }
});

t.test('codes from 200 to 299 mean that the request was not run', async (t) => {
  const refusals = Object.values(RESULT_CODES).filter(
    ({number}) => number >= 200 && number < 300,
  );
  for (const code of refusals) {
    t.equal(code.executed, 'no', code.name);
  }
});
