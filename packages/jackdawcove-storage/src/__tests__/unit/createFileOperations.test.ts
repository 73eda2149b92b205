import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import t from 'tap';

import {createFileOperations, ReplicaStorage} from '../../index.js';

t.test('a data folder on the file system is read back', async (t) => {
  const parent = await mkdtemp(join(tmpdir(), 'jackdawcove-storage-'));
  t.teardown(() => rm(parent, {recursive: true}));
  const input = {
    createIdentity: () => 'identity',
    daemon: 'a',
    folder: join(parent, 'replica'),
    operations: createFileOperations(),
  };
  const entry = {content: {text: 'x'}, index: 8, term: 2};
  const hardState = {term: 2, vote: 'a'};
  const snapshot = {content: 'state', index: 7, term: 1};
  const first = await ReplicaStorage.open(input);
  if (first.isOk) {
    const {storage} = first.value;
    await storage.saveSnapshot({entries: [], hardState, snapshot});
    await storage.save({entries: [entry]});
    await storage.close();
  }
  const second = await ReplicaStorage.open(input);
  t.match(second.isOk && second.value, {
    identity: 'identity',
    isNew: false,
    state: {entries: [entry], hardState, snapshot},
  });
  if (second.isOk) {
    await second.value.storage.close();
  }
});

t.test('a data folder that cannot be created fails', async (t) => {
  const opened = await ReplicaStorage.open({
    createIdentity: () => 'identity',
    daemon: 'a',
    folder: '/dev/null/replica',
    operations: createFileOperations(),
  });
  t.equal(opened.isErr && opened.error.result, 'storageFailed');
});
