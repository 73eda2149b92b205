/** HTTP application of the administration API. */

import type {Metrics, RecordEvent} from '../DaemonHost.js';
import type {
  AdministrationEndpoint,
  OperationName,
} from './AdministrationEndpoints.js';
import type {AdministrationHandlers} from './createHandlers.js';
import type {TokenAuthorizer} from './TokenAuthorizer.js';
import type {Context, MiddlewareHandler} from 'hono';
import type {Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth';

import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {createFailure, RESULT_CODES} from 'jackdawcove-shared';

import {
  MAXIMUM_OPEN_REQUESTS,
  REQUEST_BODY_BYTES,
} from './AdministrationConstants.js';
import {
  ADMINISTRATION_ENDPOINTS,
  OPERATION_NAMES,
} from './AdministrationEndpoints.js';
import {createOpenApiDocument} from './createOpenApiDocument.js';

/** Options of the application. */
export type AdministrationApplicationOptions = {
  readonly authorizer: TokenAuthorizer;
  readonly handlers: AdministrationHandlers;
  readonly metrics: Metrics;
  readonly onInternalError: (error: unknown) => void;
  readonly recordEvent: RecordEvent;
};

type AnyHandler = (
  input: unknown,
) => Promise<Result<unknown, Failure>> | Result<unknown, Failure>;

const RESULT_HEADER = 'Jackdaw-Result';

/**
 * Creates the answer to a failed request: the numbered result as JSON, with its
 * HTTP status.
 *
 * @example
 * createFailureAnswer(createFailure('forbidden')).status; // 403
 */
export function createFailureAnswer(failure: Failure): Response {
  const {description, executed, httpStatus, name, number} =
    RESULT_CODES[failure.result];
  const {detail} = failure;
  return Response.json(
    {description, detail, executed, name, number},
    {headers: {[RESULT_HEADER]: String(number)}, status: httpStatus},
  );
}

function createAnswer(value: unknown): Response {
  return Response.json(value, {
    headers: {[RESULT_HEADER]: String(RESULT_CODES.ok.number)},
  });
}

async function readInput(
  endpoint: AdministrationEndpoint,
  context: Context,
): Promise<unknown> {
  if (endpoint.method === 'GET') {
    return context.req.query();
  }
  try {
    return await context.req.json();
  } catch {
    return undefined;
  }
}

function describeIssues(
  issues: readonly {message: string; path: readonly PropertyKey[]}[],
): string {
  return issues
    .map(({message, path}) => `${path.map(String).join('.')}: ${message}`)
    .join('; ');
}

/** Refuses, counts and records requests whose token lacks the right. */
function createAuthorization(
  endpoint: AdministrationEndpoint,
  options: AdministrationApplicationOptions,
): MiddlewareHandler {
  return async (context, next) => {
    const header = context.req.header('Authorization');
    const outcome = options.authorizer.authorize(header, endpoint.right);
    if (outcome === 'granted') {
      await next();
      return undefined;
    }
    options.metrics.increment(`administration.${outcome}`);
    options.recordEvent('authorizationFailed', {
      path: endpoint.path,
      reason: outcome,
    });
    return createFailureAnswer(createFailure(outcome));
  };
}

/** Refuses requests above the maximum number of concurrent requests. */
function createRequestLimit(): MiddlewareHandler {
  let openRequests = 0;
  return async (_context, next) => {
    if (openRequests >= MAXIMUM_OPEN_REQUESTS) {
      return createFailureAnswer(createFailure('tooManyOpenCalls'));
    }
    openRequests += 1;
    try {
      await next();
    } finally {
      openRequests -= 1;
    }
    return undefined;
  };
}

function registerEndpoint(
  application: Hono,
  name: OperationName,
  options: AdministrationApplicationOptions,
): void {
  const endpoint: AdministrationEndpoint = ADMINISTRATION_ENDPOINTS[name];
  const handle = options.handlers[name] as AnyHandler;
  application.on(
    endpoint.method,
    endpoint.path,
    createAuthorization(endpoint, options),
    async (context) => {
      const input = await readInput(endpoint, context);
      const parsed = endpoint.input.safeParse(input);
      if (!parsed.success) {
        const detail = describeIssues(parsed.error.issues);
        return createFailureAnswer(createFailure('invalidInput', detail));
      }
      const outcome = await handle(parsed.data);
      return outcome.match({Err: createFailureAnswer, Ok: createAnswer});
    },
  );
}

/**
 * Creates the application; `application.request(path, init)` handles a request in
 * process, without a server.
 *
 * @example
 * const application = createAdministrationApplication(options);
 * await application.request('/members', {headers: {Authorization: 'Bearer …'}});
 */
export function createAdministrationApplication(
  options: AdministrationApplicationOptions,
): Hono {
  const application = new Hono();
  application.use(createRequestLimit());
  application.use(
    bodyLimit({
      maxSize: REQUEST_BODY_BYTES,
      onError: () => createFailureAnswer(createFailure('payloadTooLarge')),
    }),
  );
  for (const name of OPERATION_NAMES) {
    registerEndpoint(application, name, options);
  }
  const document = createOpenApiDocument();
  application.get('/openapi.json', () => Response.json(document));
  application.notFound(() => createFailureAnswer(createFailure('notFound')));
  application.onError((error) => {
    options.onInternalError(error);
    return createFailureAnswer(createFailure('internalError'));
  });
  return application;
}
