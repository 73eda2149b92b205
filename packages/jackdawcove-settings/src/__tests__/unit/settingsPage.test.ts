import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import t from 'tap';

import {sectionSchemas} from '../../DaemonSettings.js';
import {SECRETS} from '../../SettingsSecrets.js';

const PAGE = join(import.meta.dirname, '../../../../../docs/SETTINGS.md');

function listKeys(): [string, string][] {
  const targets = new Set(SECRETS.map(({target}) => target));
  const plain = Object.entries(sectionSchemas).flatMap(([section, schema]) =>
    Object.keys(schema.shape)
      .filter((key) => !targets.has(key))
      .map((key): [string, string] => [section, key]),
  );
  const secrets = SECRETS.flatMap(({fileKey, section, valueKey}) => [
    [section, fileKey] as [string, string],
    [section, valueKey] as [string, string],
  ]);
  return [...plain, ...secrets];
}

t.test('docs/SETTINGS.md has a row for every key and no others', async (t) => {
  const rows = readFileSync(PAGE, 'utf8')
    .split('\n')
    .flatMap((line) => {
      const [, section = '', keys = ''] = line
        .split('|')
        .map((cell) => cell.trim());
      return keys.split(', ').map((key) => `${section} ${key}`);
    });
  const expected = listKeys().map(([section, key]) => {
    const fileKey = key.replace(
      /[A-Z]/g,
      (letter) => `_${letter.toLowerCase()}`,
    );
    return `${section} ${fileKey}`;
  });
  const documented = rows.filter((row) => /^[a-z]+ [a-z_]+$/.test(row));
  t.strictSame(documented.sort(), expected.sort());
});
