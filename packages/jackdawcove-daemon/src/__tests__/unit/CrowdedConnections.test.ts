/** Guards against connections of callers that take the memory and descriptors of others. */

import t from 'tap';

import {readResidentBytes} from '../../host/readResidentBytes.js';

t.test('the memory is known without a descriptor left', (t) => {
  const read = (): number => {
    throw new Error('EMFILE: too many open files, uv_resident_set_memory');
  };
  t.ok(readResidentBytes(read) > 0);
  t.equal(
    readResidentBytes(() => 7),
    7,
  );
  t.end();
});
