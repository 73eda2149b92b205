import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import t from 'tap';

import {createOpenApiDocument} from '../../administration/createOpenApiDocument.js';

const DOCUMENT_PATH = '../../../../../docs/openapi.json';

t.test('docs/openapi.json matches the schemas', async (t) => {
  const text = readFileSync(join(import.meta.dirname, DOCUMENT_PATH), 'utf8');
  const expected: unknown = JSON.parse(JSON.stringify(createOpenApiDocument()));
  t.strictSame(
    JSON.parse(text),
    expected,
    'regenerate with node scripts/generateDocuments.mjs',
  );
});
