import {readFileSync} from 'node:fs';
import {join} from 'node:path';

import t from 'tap';
import {z} from 'zod';

import * as answers from '../../client/AnswerSchemas.js';
import {formatResultCodes} from '../../formatResultCodes.js';

type JsonSchema = {
  readonly items?: JsonSchema;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly type?: string;
};
type OpenApi = {
  readonly paths: Readonly<
    Record<
      string,
      Record<
        string,
        {
          readonly responses: {
            readonly 200: {
              readonly content: {
                readonly 'application/json': {readonly schema: JsonSchema};
              };
            };
          };
        }
      >
    >
  >;
};

function readDocument(name: string): string {
  const folder = join(import.meta.dirname, '../../../../../docs');
  return readFileSync(join(folder, name), 'utf8');
}

/** Lists the fields that the tool reads but the API may not send, or sends with another type. */
function listMismatches(
  tool: JsonSchema,
  api: JsonSchema | undefined,
  path: string,
): string[] {
  const isNumber = (type?: string) => type === 'number' || type === 'integer';
  const isSameType =
    tool.type === api?.type || (isNumber(tool.type) && isNumber(api?.type));
  if (api === undefined || !isSameType) {
    return [path];
  }
  const properties = Object.entries(tool.properties ?? {});
  return [
    ...(tool.required ?? [])
      .filter((key) => !(api.required ?? []).includes(key))
      .map((key) => `${path}.${key} is optional in the API`),
    ...properties.flatMap(([key, schema]) =>
      listMismatches(schema, api.properties?.[key], `${path}.${key}`),
    ),
    ...(tool.items === undefined
      ? []
      : listMismatches(tool.items, api.items, `${path}[]`)),
  ];
}

const API_ANSWERS = [
  ['get', '/configuration', answers.configurationRecordSchema],
  ['post', '/configuration/changes', answers.configurationRecordSchema],
  ['get', '/configuration/history', answers.historySchema],
  ['get', '/configuration/status', answers.configurationStatusSchema],
  ['post', '/drain', answers.drainAnswerSchema],
  ['get', '/members', answers.membersSchema],
  ['get', '/quarantine', answers.quarantineSchema],
  ['post', '/quarantine/releases', answers.quarantineSchema],
  ['get', '/status', answers.daemonStatusSchema],
  ['get', '/timeline', answers.timelineAnswerSchema],
  ['get', '/voters', answers.votersSchema],
  ['post', '/voters/changes', answers.votersSchema],
] as const;

t.test('the tool reads only fields that the API sends', async (t) => {
  const document = JSON.parse(readDocument('openapi.json')) as OpenApi;
  for (const [method, path, schema] of API_ANSWERS) {
    const operation = document.paths[path]?.[method];
    const api = operation?.responses[200].content['application/json'].schema;
    const tool = z.toJSONSchema(schema) as JsonSchema;
    t.strictSame(listMismatches(tool, api, path), [], `${method} ${path}`);
  }
});

t.test('docs/RESULT-CODES.md matches the table of result codes', async (t) => {
  const hint = 'node scripts/generateDocuments.mjs';
  t.equal(readDocument('RESULT-CODES.md'), formatResultCodes(), hint);
});
