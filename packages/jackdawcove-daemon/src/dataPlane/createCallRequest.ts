/** Creates call requests from HTTP requests. */

import type {CallRequest} from 'jackdawcove-call';
import type {IncomingMessage} from 'node:http';

import {digestHex} from 'jackdawcove-shared';

import {
  CONTEXT_HEADER,
  KEY_HEADER,
  TIMEOUT_HEADER,
} from './DataPlaneConstants.js';
import {getSingleHeader} from './HttpHeaders.js';

/** Service and path that a URL names. */
export type CallTarget = {
  readonly path: string;
  readonly service: string;
};

/** HTTP request from which a call request is created. */
export type CallSource = {
  readonly body: Uint8Array | undefined;
  readonly incoming: IncomingMessage;
  readonly isFromLoopback: boolean;
  readonly target: CallTarget;
};

const URL_PATTERN = /^\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/**
 * Splits a URL into the service, which is its first segment, and the rest of
 * the path. Returns undefined if the URL names no service.
 *
 * @example
 * parseTarget('/orders/crates/7?a=1'); // {path: '/crates/7?a=1', service: 'orders'}
 */
export function parseTarget(url: string): CallTarget | undefined {
  const match = URL_PATTERN.exec(url);
  if (match?.[1] === undefined) {
    return undefined;
  }
  return {path: `${match[2] ?? '/'}${match[3] ?? ''}`, service: match[1]};
}

function getTimeout(incoming: IncomingMessage): number | undefined {
  const text = getSingleHeader(incoming.headers, TIMEOUT_HEADER);
  const milliseconds = Number(text);
  return text !== undefined && milliseconds > 0 ? milliseconds : undefined;
}

function getLength(incoming: IncomingMessage): number | undefined {
  const text = incoming.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/**
 * Creates a call request. A call without a buffered body cannot be retried.
 *
 * @example
 * createCallRequest({body, incoming, isFromLoopback: false, target});
 */
export function createCallRequest(source: CallSource): CallRequest {
  const {body, incoming, isFromLoopback, target} = source;
  const bodyLength = body?.length ?? getLength(incoming);
  const contextHeader = getSingleHeader(incoming.headers, CONTEXT_HEADER);
  const idempotencyKey = getSingleHeader(incoming.headers, KEY_HEADER);
  const timeoutMilliseconds = getTimeout(incoming);
  return {
    isFromLoopback,
    isReplayable: body !== undefined,
    method: incoming.method ?? 'GET',
    path: target.path,
    service: target.service,
    ...(body === undefined ? {} : {bodyFingerprint: digestHex(body)}),
    ...(bodyLength === undefined ? {} : {bodyLength}),
    ...(contextHeader === undefined ? {} : {contextHeader}),
    ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
    ...(timeoutMilliseconds === undefined ? {} : {timeoutMilliseconds}),
  };
}
