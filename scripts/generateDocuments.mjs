// Generates documents that tests compare with the code. Requires a build.
import {writeFileSync} from 'node:fs';

import {format, resolveConfig} from 'prettier';

import {formatResultCodes} from '../packages/jackdawcove-cli/dist/formatResultCodes.js';
import {createOpenApiDocument} from '../packages/jackdawcove-daemon/dist/administration/createOpenApiDocument.js';

const OPENAPI_PATH = 'docs/openapi.json';
const RESULT_CODES_PATH = 'docs/RESULT-CODES.md';

const options = await resolveConfig(OPENAPI_PATH);
const openApiText = await format(JSON.stringify(createOpenApiDocument()), {
  ...options,
  filepath: OPENAPI_PATH,
});
writeFileSync(OPENAPI_PATH, openApiText);
writeFileSync(RESULT_CODES_PATH, formatResultCodes());
