import type {
  OpenedStorage,
  SnapshotUpdate,
  StorageUpdate,
  StoredEntry,
} from '../../index.js';

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {FILE_NAMES, MemoryFiles, ReplicaStorage} from '../../index.js';

const FOLDER = '/data';
const SEED_COUNT = 25;

type Step =
  | {kind: 'save'; update: StorageUpdate}
  | {kind: 'snapshot'; update: SnapshotUpdate};

let identityCount = 0;

async function open(files: MemoryFiles, daemon = 'a') {
  return ReplicaStorage.open({
    createIdentity: () => {
      identityCount += 1;
      return `identity-${String(identityCount)}`;
    },
    daemon,
    folder: FOLDER,
    operations: files.createOperations(),
  });
}

async function openOrThrow(files: MemoryFiles): Promise<OpenedStorage> {
  const opened = await open(files);
  if (opened.isErr) {
    throw new Error(JSON.stringify(opened.error));
  }
  return opened.value;
}

function createEntry(index: number, term = 1): StoredEntry {
  return {content: `entry ${String(index)} of ${String(term)}`, index, term};
}

const STEPS: Step[] = [
  {kind: 'save', update: {entries: [], hardState: {term: 1, vote: 'a'}}},
  {kind: 'save', update: {entries: [createEntry(1), createEntry(2)]}},
  {kind: 'save', update: {entries: [createEntry(3)]}},
  {
    kind: 'save',
    update: {entries: [createEntry(3, 2)], hardState: {term: 2}},
  },
  {
    kind: 'snapshot',
    update: {
      entries: [createEntry(3, 2)],
      hardState: {term: 2},
      snapshot: {content: 'state 2', index: 2, term: 1},
    },
  },
  {kind: 'save', update: {entries: [createEntry(4, 2)]}},
  {
    kind: 'snapshot',
    update: {
      entries: [],
      hardState: {term: 3},
      snapshot: {content: 'state 9', index: 9, term: 3},
    },
  },
  {kind: 'save', update: {entries: [createEntry(10, 3)]}},
];

/** Formats a state as text, so that states after different steps can be compared. */
function formatState({state}: Pick<OpenedStorage, 'state'>): string {
  const {entries, hardState, snapshot} = state;
  const {term, vote = ''} = hardState;
  const texts = entries.map(
    ({index, term}) => `${String(index)}/${String(term)}`,
  );
  return `${String(term)} ${vote} | ${String(snapshot?.index ?? 0)} | ${texts.join(' ')}`;
}

/** Expected state after each step. */
const EXPECTED_STATES = [
  '0  | 0 | ',
  '1 a | 0 | ',
  '1 a | 0 | 1/1 2/1',
  '1 a | 0 | 1/1 2/1 3/1',
  '2  | 0 | 1/1 2/1 3/2',
  '2  | 2 | 3/2',
  '2  | 2 | 3/2 4/2',
  '3  | 9 | ',
  '3  | 9 | 10/3',
];

/** States if a crash comes after renaming the snapshot and before renaming the log. */
const STATES_BETWEEN_RENAMES: Readonly<Record<number, string>> = {
  4: '2  | 2 | 3/2',
  6: '2  | 9 | ',
};

async function runSteps(storage: ReplicaStorage): Promise<number> {
  for (const [position, step] of STEPS.entries()) {
    const saved =
      step.kind === 'save'
        ? await storage.save(step.update)
        : await storage.saveSnapshot(step.update);
    if (saved.isErr) {
      return position;
    }
  }
  return STEPS.length;
}

t.test('the state after each step is read back after a crash', async (t) => {
  for (const [count, expected] of EXPECTED_STATES.entries()) {
    const files = new MemoryFiles();
    const {identity, isNew, storage} = await openOrThrow(files);
    t.equal(isNew, true);
    for (const step of STEPS.slice(0, count)) {
      await (step.kind === 'save'
        ? storage.save(step.update)
        : storage.saveSnapshot(step.update));
    }
    files.crash(createSeededRandom(count));
    const opened = await openOrThrow(files);
    t.equal(formatState(opened), expected, `after ${String(count)} steps`);
    t.equal(opened.identity, identity);
    t.equal(opened.isNew, false);
  }
});

t.test(
  'a fault at any file operation loses no acknowledged save',
  async (t) => {
    const errorCases = [
      {code: 'EIO', expected: 'storageFailed'},
      {code: 'ENOSPC', expected: 'storageFull'},
    ];
    for (const {code, expected} of errorCases) {
      for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
        for (let failAt = 1; ; failAt += 1) {
          const files = new MemoryFiles();
          let operationCount = 0;
          files.injectFault = () => {
            operationCount += 1;
            return operationCount >= failAt
              ? Object.assign(new Error(code), {code})
              : undefined;
          };
          const first = await open(files);
          const completedSteps = first.isOk
            ? await runSteps(first.value.storage)
            : 0;
          if (first.isOk && completedSteps === STEPS.length) {
            break;
          }
          if (first.isOk) {
            const {storage} = first.value;
            const failure = storage.getFailure()?.result;
            files.injectFault = () => undefined;
            const later = await storage.save({entries: []});
            if (failure !== expected || later.isOk) {
              t.fail(`operation ${String(failAt)} did not stop the storage`);
            }
          }
          files.injectFault = () => undefined;
          files.crash(createSeededRandom(seed));
          const opened = await open(files);
          if (opened.isErr) {
            t.fail(
              `operation ${String(failAt)}: ${JSON.stringify(opened.error)}`,
            );
            continue;
          }
          const reopenedState = formatState(opened.value);
          const allowedStates = [
            EXPECTED_STATES[completedSteps],
            EXPECTED_STATES[completedSteps + 1],
            STATES_BETWEEN_RENAMES[completedSteps],
          ];
          if (!allowedStates.includes(reopenedState)) {
            t.fail(
              `operation ${String(failAt)} after ${String(completedSteps)}: ${reopenedState}`,
            );
          }
          if (first.isOk && opened.value.identity !== first.value.identity) {
            t.fail(`operation ${String(failAt)} changed the identity`);
          }
        }
      }
      t.pass(`${code} at every operation`);
    }
  },
);

t.test('damaged files are detected', async (t) => {
  const flip = (position: (length: number) => number) => (bytes: Buffer) => {
    const index = position(bytes.length);
    bytes[index] = (bytes[index] ?? 0) ^ 1;
    return bytes;
  };
  const lastByte = (length: number) => length - 1;
  const middleByte = (length: number) => Math.floor(length / 2);
  const cases = [
    {
      change: flip(middleByte),
      expected: 'storageDamaged',
      file: FILE_NAMES.log,
      name: 'flipped bit in the log',
    },
    {
      change: flip(lastByte),
      expected: 'storageDamaged',
      file: FILE_NAMES.log,
      name: 'flipped bit in the last synced record',
    },
    {
      change: (bytes: Buffer) => bytes.subarray(0, -3),
      expected: 'storageDamaged',
      file: FILE_NAMES.log,
      name: 'truncated synced bytes',
    },
    {
      change: (bytes: Buffer) => Buffer.concat([bytes, Buffer.alloc(5, 7)]),
      expected: undefined,
      file: FILE_NAMES.log,
      name: 'torn tail',
    },
    {
      change: () => Buffer.alloc(0),
      expected: 'storageDamaged',
      file: FILE_NAMES.log,
      name: 'emptied log',
    },
    {
      change: flip(middleByte),
      expected: 'storageDamaged',
      file: FILE_NAMES.snapshot,
      name: 'flipped bit in the snapshot',
    },
    {
      change: flip(lastByte),
      expected: 'storageDamaged',
      file: FILE_NAMES.identity,
      name: 'flipped bit in the identity',
    },
    {
      change: flip(lastByte),
      expected: undefined,
      file: FILE_NAMES.syncedLength,
      name: 'flipped bit in the marker of the synced length',
    },
  ] as const;
  for (const {change, expected, file, name} of cases) {
    const files = new MemoryFiles();
    const {storage} = await openOrThrow(files);
    await runSteps(storage);
    files.editFile(`${FOLDER}/${file}`, change);
    const opened = await open(files);
    t.equal(opened.isErr ? opened.error.result : undefined, expected, name);
    if (opened.isOk) {
      t.equal(
        formatState(opened.value),
        EXPECTED_STATES.at(-1),
        `${name}: complete state`,
      );
    }
  }
});

t.test('a data folder keeps its identity', async (t) => {
  const files = new MemoryFiles();
  const first = await openOrThrow(files);
  await runSteps(first.storage);
  const other = await open(files, 'b');
  t.equal(other.isErr && other.error.result, 'replicaIdentityMismatch');
  files.emptyFolder(FOLDER);
  const emptied = await openOrThrow(files);
  t.not(
    emptied.identity,
    first.identity,
    'an emptied folder gets a new identity',
  );
  t.equal(emptied.isNew, true);
  await runSteps(emptied.storage);
  files.editFile(`${FOLDER}/${FILE_NAMES.identity}`, () => Buffer.alloc(0));
  const lost = await open(files);
  t.equal(
    lost.isErr && lost.error.result,
    'storageDamaged',
    'emptied identity file',
  );
});

t.test('a skipped sync loses saves in a crash', async (t) => {
  let lost = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const files = new MemoryFiles();
    await openOrThrow(files);
    const operations = files.createOperations();
    const opened = await ReplicaStorage.open({
      createIdentity: () => 'unused',
      daemon: 'a',
      folder: FOLDER,
      operations: {
        ...operations,
        openFile: async (path, mode) => ({
          ...(await operations.openFile(path, mode)),
          sync: () => Promise.resolve(),
        }),
      },
    });
    if (opened.isOk) {
      await runSteps(opened.value.storage);
    }
    files.crash(createSeededRandom(seed));
    const reopened = await open(files);
    const isComplete =
      reopened.isOk && formatState(reopened.value) === EXPECTED_STATES.at(-1);
    lost += isComplete ? 0 : 1;
  }
  t.ok(lost > 0, `${String(lost)} of ${String(SEED_COUNT)} runs lost a save`);
});
