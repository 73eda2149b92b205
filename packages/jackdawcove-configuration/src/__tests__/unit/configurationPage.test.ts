import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import t from 'tap';

import {
  APPLIED_POLICY_KEYS,
  DEFAULT_POLICY_VALUES,
  parseFleetConfiguration,
  toDocumentKey,
  UNAPPLIED_POLICY_KEYS,
} from '../../index.js';

const PAGE = join(import.meta.dirname, '../../../../../docs/CONFIGURATION.md');

t.test('docs/CONFIGURATION.md has each key with its default', async (t) => {
  const text = readFileSync(PAGE, 'utf8');
  const rows = text
    .split('\n')
    .map((line) => line.split('|').map((cell) => cell.trim()));
  for (const key of UNAPPLIED_POLICY_KEYS) {
    t.notOk(text.includes(`| ${toDocumentKey(key)} |`), key);
  }
  for (const key of APPLIED_POLICY_KEYS) {
    const row = rows.find(([, cell]) => cell === toDocumentKey(key));
    t.equal(row?.[3], String(DEFAULT_POLICY_VALUES[key]), key);
  }
  const [, example = ''] = /```ini\n([^`]*)```/.exec(text) ?? [];
  t.ok(parseFleetConfiguration(example).isOk, 'the example is valid');
});
