import {existsSync} from 'node:fs';

import t from 'tap';

import {createTestFolder} from '../fixtures/createTestFolder.js';

t.test('the folder is there until its processes have stopped', async (t) => {
  let folder = '';
  let wasThere: boolean | undefined;
  await t.test('with a process', async (t) => {
    folder = createTestFolder(t, async () => {
      await Promise.resolve();
      wasThere = existsSync(folder);
    });
    t.ok(existsSync(folder));
  });
  t.equal(wasThere, true);
  t.notOk(existsSync(folder));
});
