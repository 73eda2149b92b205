import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import t from 'tap';

import {FAULT_CASES, faultCaseSchema, formatFaultMatrix} from '../../index.js';

const ROOT = join(import.meta.dirname, '../../../../..');
const QUOTES = ["'", '`'];

/** Whether a source file has a string that ends with the given test name. */
function hasTest(file: string, test: string): boolean {
  const path = join(ROOT, 'packages', file);
  if (!existsSync(path)) {
    return false;
  }
  const lines = readFileSync(path, 'utf8').split('\n');
  const code = lines.filter((line) => !/^\s*(?:\/\/|\/?\*)/.test(line));
  return code.some((line) =>
    QUOTES.some((quote) => line.includes(`${test}${quote}`)),
  );
}

t.test('docs/FAULT-MATRIX.md matches the generated page', async (t) => {
  const page = readFileSync(join(ROOT, 'docs/FAULT-MATRIX.md'), 'utf8');
  t.equal(formatFaultMatrix(FAULT_CASES), page);
});

t.test('every test that a cell cites exists', async (t) => {
  for (const {evidence} of FAULT_CASES) {
    const proofs = evidence.kind === 'proved' ? evidence.proofs : [];
    for (const {file, test} of proofs) {
      t.ok(hasTest(file, test), `${file}: ${test}`);
    }
  }
});

t.test('a cited test that does not exist is detected', async (t) => {
  const [file, test] = ['jackdawcove-call/src/__tests__/unit', 'ServerSide'];
  const cases = [
    [
      `${file}/${test}.test.ts`,
      'refuses an attempt after a drain has started',
      true,
    ],
    [`${file}/${test}.test.ts`, 'refuses an attempt after a drain has', false],
    [
      `${file}/None.test.ts`,
      'refuses an attempt after a drain has started',
      false,
    ],
  ] as const;
  for (const [path, name, expected] of cases) {
    t.equal(hasTest(path, name), expected, `${path}: ${name}`);
  }
});

t.test('each cell is valid and occurs only once', async (t) => {
  const cells = FAULT_CASES.map(({column, row}) => `${row} ${column}`);
  t.equal(new Set(cells).size, cells.length);
  for (const faultCase of FAULT_CASES) {
    t.ok(faultCaseSchema.safeParse(faultCase).success);
  }
});
