/** OpenAPI document of the administration API, generated from its schemas. */

import type {
  AdministrationEndpoint,
  OperationName,
} from './AdministrationEndpoints.js';

import {z} from 'zod';

import {
  ADMINISTRATION_ENDPOINTS,
  OPERATION_NAMES,
} from './AdministrationEndpoints.js';
import {failureAnswerSchema} from './AdministrationSchemas.js';

/** JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>;

const OPENAPI_VERSION = '3.1.0';
const API_VERSION = '1';
const JSON_MEDIA_TYPE = 'application/json';

function describeSchema(schema: z.ZodType, io: 'input' | 'output'): JsonObject {
  const {$schema, ...described} = z.toJSONSchema(schema, {io});
  return $schema === undefined ? {} : described;
}

function describeContent(schema: z.ZodType, io: 'input' | 'output') {
  return {content: {[JSON_MEDIA_TYPE]: {schema: describeSchema(schema, io)}}};
}

function describeParameters(schema: z.ZodObject): JsonObject[] {
  return Object.entries(schema.shape).map(([name, field]) => ({
    in: 'query',
    name,
    required: false,
    schema: describeSchema(field as z.ZodType, 'output'),
  }));
}

function describeInput(endpoint: AdministrationEndpoint): JsonObject {
  return endpoint.method === 'GET'
    ? {parameters: describeParameters(endpoint.input)}
    : {
        requestBody: {
          ...describeContent(endpoint.input, 'input'),
          required: true,
        },
      };
}

function describeEndpoint(name: OperationName): JsonObject {
  const endpoint: AdministrationEndpoint = ADMINISTRATION_ENDPOINTS[name];
  return {
    ...describeInput(endpoint),
    description: `${endpoint.description} Right: ${endpoint.right}.`,
    operationId: name,
    responses: {
      200: {
        ...describeContent(endpoint.output, 'output'),
        description: 'The answer.',
      },
      default: {
        ...describeContent(failureAnswerSchema, 'output'),
        description: 'A numbered failure; see RESULT-CODES.md.',
      },
    },
    security: [{bearer: []}],
  };
}

/**
 * Creates the OpenAPI document.
 *
 * @example
 * JSON.stringify(createOpenApiDocument(), undefined, 2);
 */
export function createOpenApiDocument(): JsonObject {
  const paths: Record<string, JsonObject> = {};
  for (const name of OPERATION_NAMES) {
    const {method, path} = ADMINISTRATION_ENDPOINTS[name];
    paths[path] = {
      ...paths[path],
      [method.toLowerCase()]: describeEndpoint(name),
    };
  }
  return {
    components: {
      securitySchemes: {bearer: {scheme: 'bearer', type: 'http'}},
    },
    info: {
      description: 'Administration API of one daemon of the fleet.',
      title: 'jackdawcove administration API',
      version: API_VERSION,
    },
    openapi: OPENAPI_VERSION,
    paths,
  };
}
