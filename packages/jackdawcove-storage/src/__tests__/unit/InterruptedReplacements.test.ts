/** Tests a replica whose process ends while a file of its folder is replaced. */

import type {
  OpenedStorage,
  SnapshotUpdate,
  StorageUpdate,
  StoredEntry,
} from '../../index.js';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {FILE_NAMES, MemoryFiles, ReplicaStorage} from '../../index.js';
import {encodeRecord} from '../../StorageUtils.js';

type Replacement = {
  readonly name: string;
  readonly replace: (storage: ReplicaStorage) => Promise<{isErr: boolean}>;
  readonly saved: readonly StorageUpdate[];
};

/** How the process ends; a loss of power may undo what was not synced. */
const ENDS: readonly {
  readonly end: (files: MemoryFiles, seed: number) => void;
  readonly name: string;
  readonly seeds: number;
}[] = [
  {end: () => undefined, name: 'a kill', seeds: 1},
  {
    end: (files, seed) => {
      files.crash(createSeededRandom(seed));
    },
    name: 'a loss of power',
    seeds: 5,
  },
];

const FOLDER = '/data';

function createEntry(index: number, term: number): StoredEntry {
  return {content: `entry ${String(index)} of ${String(term)}`, index, term};
}

function createEntries(first: number, last: number, term: number) {
  return Array.from({length: last - first + 1}, (_, offset) =>
    createEntry(first + offset, term),
  );
}

function saveSnapshot(
  index: number,
  term: number,
  entries: StoredEntry[] = [],
): Replacement['replace'] {
  const update: SnapshotUpdate = {
    entries,
    hardState: {term: 3},
    snapshot: {content: `state ${String(index)}`, index, term},
  };
  return (storage) => storage.saveSnapshot(update);
}

const FIVE = {entries: createEntries(1, 5, 1), hardState: {term: 1}};

const REPLACEMENTS: readonly Replacement[] = [
  {
    name: 'a snapshot of entries that the log holds',
    replace: saveSnapshot(3, 1, createEntries(2, 5, 1)),
    saved: [FIVE],
  },
  {
    name: 'a snapshot that continues the log',
    replace: saveSnapshot(5, 1),
    saved: [FIVE],
  },
  {
    name: 'a snapshot beyond the log',
    replace: saveSnapshot(78, 3),
    saved: [FIVE],
  },
  {
    name: 'a snapshot right after the log',
    replace: saveSnapshot(6, 1),
    saved: [FIVE],
  },
  {
    name: 'a snapshot that conflicts with the last entry',
    replace: saveSnapshot(5, 3),
    saved: [FIVE],
  },
  {
    name: 'a snapshot that the log conflicts with and reaches beyond',
    replace: saveSnapshot(3, 2),
    saved: [FIVE],
  },
  {
    name: 'a snapshot of a replica without entries',
    replace: saveSnapshot(1, 1),
    saved: [],
  },
  {
    name: 'a second snapshot beyond the log',
    replace: async (storage) => {
      const first = await saveSnapshot(20, 2)(storage);
      return first.isErr ? first : saveSnapshot(40, 3)(storage);
    },
    saved: [FIVE],
  },
  {
    name: 'a log that is written anew',
    replace: (storage) => storage.rewriteLog(FIVE),
    saved: [FIVE],
  },
];

async function open(files: MemoryFiles): Promise<OpenedStorage> {
  const opened = await ReplicaStorage.open({
    createIdentity: () => 'identity',
    daemon: 'a',
    folder: FOLDER,
    operations: files.createOperations(),
  });
  if (opened.isErr) {
    throw new Error(JSON.stringify(opened.error));
  }
  return opened.value;
}

async function prepare(saved: readonly StorageUpdate[]): Promise<{
  files: MemoryFiles;
  storage: ReplicaStorage;
}> {
  const files = new MemoryFiles();
  const {storage} = await open(files);
  for (const update of saved) {
    await storage.save(update);
  }
  return {files, storage};
}

function getEnd({state: {entries, snapshot}}: OpenedStorage): StoredEntry {
  return entries.at(-1) ?? createEntry(snapshot?.index ?? 0, 0);
}

/** Saves two entries as a follower does; returns what must be read back. */
async function saveNext(opened: OpenedStorage): Promise<unknown> {
  const {state, storage} = opened;
  const first = getEnd(opened).index + 1;
  const saved: StoredEntry[] = [];
  for (const index of [first, first + 1]) {
    const entry = createEntry(index, 4);
    const result = await storage.save({entries: [entry], hardState: {term: 4}});
    if (result.isErr) {
      throw new Error(JSON.stringify(result.error));
    }
    saved.push(entry);
  }
  const {entries, snapshot} = state;
  return {entries: [...entries, ...saved], hardState: {term: 4}, snapshot};
}

// Guards against a replica that is gone for good, or loses what it acknowledged, because
// its process was killed between the replacement of its snapshot and its log (review/7).
for (const {name, replace, saved} of REPLACEMENTS) {
  for (const {end, name: endName, seeds} of ENDS) {
    t.test(
      `what is saved after ${endName} during ${name} is read back`,
      async (t) => {
        for (let seed = 1; seed <= seeds; seed += 1) {
          for (let number = 1; ; number += 1) {
            const {files, storage} = await prepare(saved);
            const getCount = files.failFrom(number);
            await replace(storage);
            if (getCount() < number) {
              t.ok(number > 1);
              break;
            }
            files.injectFault = () => undefined;
            end(files, seed);
            const expected = await saveNext(await open(files));
            end(files, seed);
            const {state} = await open(files);
            t.strictSame(state, expected, `operation ${String(number)}`);
          }
        }
      },
    );
  }
}

t.test(
  'what is saved after a replica was opened twice is read back',
  async (t) => {
    for (const {replace, saved} of REPLACEMENTS) {
      for (let number = 1; ; number += 1) {
        const {files, storage} = await prepare(saved);
        const getCount = files.failFrom(number);
        await replace(storage);
        if (getCount() < number) {
          break;
        }
        for (let openNumber = 1; ; openNumber += 1) {
          const getOpenCount = files.failFrom(openNumber);
          await open(files).catch(() => undefined);
          files.injectFault = () => undefined;
          if (getOpenCount() < openNumber) {
            break;
          }
        }
        const expected = await saveNext(await open(files));
        t.strictSame((await open(files)).state, expected);
      }
    }
  },
);

// Guards against folders of review/7 that an earlier version left behind.
t.test('entries that an earlier version appended are read', async (t) => {
  const {files, storage} = await prepare([FIVE]);
  files.injectFault = (_, path) =>
    path.endsWith(`${FILE_NAMES.log}.temporary`)
      ? new Error('the process has ended')
      : undefined;
  await saveSnapshot(78, 3)(storage);
  files.injectFault = () => undefined;
  const appended = createEntries(79, 81, 4);
  files.editFile(`${FOLDER}/${FILE_NAMES.log}`, (bytes) =>
    Buffer.concat([
      bytes,
      ...appended.map((entry) =>
        encodeRecord({entries: [entry], hardState: {term: 4}}),
      ),
    ]),
  );
  const {state} = await open(files);
  t.match(state, {entries: appended, hardState: {term: 4}});
  t.equal(state.snapshot?.index, 78);
});

t.test(
  'a log with missing entries beyond the snapshot is damaged',
  async (t) => {
    const {files, storage} = await prepare([FIVE]);
    await saveSnapshot(3, 1, createEntries(4, 5, 1))(storage);
    await storage.save({entries: [createEntry(9, 3)]});
    await t.rejects(open(files), /storageDamaged/);
  },
);
