/** Client of the administration API of one daemon. */

import type {
  JackdawDependencies,
  ToolResponse,
} from '../JackdawDependencies.js';
import type {ToolSettings} from '../ToolSettings.js';
import type {Failure, ResultName} from 'jackdawcove-shared';
import type {z} from 'zod';

import {createFailure, getResultCode} from 'jackdawcove-shared';
import {Result} from 'true-myth';
import {tryOr} from 'true-myth/result';

import {failureAnswerSchema} from './AnswerSchemas.js';

/** Parameters of a query; undefined values are omitted. */
export type QueryParameters = Readonly<
  Record<string, number | string | undefined>
>;

const HTTP_OK = 200;

/** Error codes that prove that no byte of the request was sent. */
const CONNECT_ERROR_CODES = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

function getErrorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

function formatQuery(parameters: QueryParameters): string {
  const search = new URLSearchParams();
  for (const [key, value] of Object.entries(parameters)) {
    if (value !== undefined) {
      search.set(key, String(value));
    }
  }
  const text = search.toString();
  return text === '' ? '' : `?${text}`;
}

function parseJson(text: string): unknown {
  return tryOr<unknown, undefined>(undefined, () => JSON.parse(text)).unwrapOr(
    undefined,
  );
}

function createUnreadableFailure(status: number): Failure {
  const detail = `unreadable answer with HTTP status ${String(status)}`;
  return createFailure('internalError', detail);
}

function parseFailure(response: ToolResponse): Failure {
  const parsed = failureAnswerSchema.safeParse(parseJson(response.text));
  const code = parsed.success ? getResultCode(parsed.data.number) : undefined;
  return parsed.success && code !== undefined
    ? createFailure(code.name as ResultName, parsed.data.detail)
    : createUnreadableFailure(response.status);
}

function parseAnswer<Schema extends z.ZodType>(
  response: ToolResponse,
  schema: Schema,
): Result<z.output<Schema>, Failure> {
  if (response.status !== HTTP_OK) {
    return Result.err(parseFailure(response));
  }
  const parsed = schema.safeParse(parseJson(response.text));
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(createUnreadableFailure(response.status));
}

/** Sends queries and commands to one daemon. */
export class AdministrationClient {
  readonly #dependencies: JackdawDependencies;
  readonly #settings: ToolSettings;

  constructor(settings: ToolSettings, dependencies: JackdawDependencies) {
    this.#dependencies = dependencies;
    this.#settings = settings;
  }

  /**
   * Sends a command. Fails with `lostAnswerResult` if the request was sent and
   * no complete answer was received, because the daemon may have run the command.
   *
   * @example
   * await client.command('/drain', {author, reason}, drainAnswerSchema);
   */
  command<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
    lostAnswerResult: ResultName = 'daemonUnreachable',
  ): Promise<Result<z.output<Schema>, Failure>> {
    const text = JSON.stringify(body);
    return this.#send('POST', path, schema, lostAnswerResult, text);
  }

  /**
   * Sends a query.
   *
   * @example
   * await client.query('/members', {}, membersSchema);
   */
  query<Schema extends z.ZodType>(
    path: string,
    parameters: QueryParameters,
    schema: Schema,
  ): Promise<Result<z.output<Schema>, Failure>> {
    const target = `${path}${formatQuery(parameters)}`;
    return this.#send('GET', target, schema, 'daemonUnreachable');
  }

  async #send<Schema extends z.ZodType>(
    method: 'GET' | 'POST',
    target: string,
    schema: Schema,
    lostAnswerResult: ResultName,
    body?: string,
  ): Promise<Result<z.output<Schema>, Failure>> {
    const {address, timeoutMilliseconds, token} = this.#settings;
    const authorization = token === undefined ? '' : `Bearer ${token}`;
    try {
      const response = await this.#dependencies.sendRequest({
        headers: {
          ...(authorization === '' ? {} : {authorization}),
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
        method,
        timeoutMilliseconds,
        url: `http://${address}${target}`,
        ...(body === undefined ? {} : {body}),
      });
      return parseAnswer(response, schema);
    } catch (error) {
      const isUnsent = CONNECT_ERROR_CODES.includes(getErrorCode(error));
      const reason = error instanceof Error ? error.message : String(error);
      return Result.err(
        createFailure(
          isUnsent ? 'daemonUnreachable' : lostAnswerResult,
          `${address}: ${reason}`,
        ),
      );
    }
  }
}
