/** Selection of the HTTP headers that the daemon forwards. */

import type {Header} from 'jackdawcove-session';
import type {IncomingHttpHeaders} from 'node:http';

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

const RESERVED_PREFIX = 'jackdaw-';

function isForwarded(name: string): boolean {
  return !HOP_BY_HOP_HEADERS.has(name) && !name.startsWith(RESERVED_PREFIX);
}

/**
 * Names listed in the `connection` header, which apply to one connection only.
 */
function parseConnectionNames(connection: string | undefined): Set<string> {
  const names = (connection ?? '').split(',');
  return new Set(names.map((name) => name.trim().toLowerCase()));
}

/**
 * Returns the request headers that are forwarded to the backend server.
 *
 * @example
 * selectRequestHeaders({accept: '*', connection: 'close'}); // [['accept', '*']]
 */
export function selectRequestHeaders(headers: IncomingHttpHeaders): Header[] {
  const selected: Header[] = [];
  const connectionNames = parseConnectionNames(headers.connection);
  for (const [name, value] of Object.entries(headers)) {
    if (
      value === undefined ||
      !isForwarded(name) ||
      connectionNames.has(name)
    ) {
      continue;
    }
    selected.push([name, Array.isArray(value) ? value.join(', ') : value]);
  }
  return selected;
}

/**
 * Returns the answer headers that are forwarded to the caller, from a list of
 * alternating names and values.
 *
 * @example
 * selectAnswerHeaders(['etag', '7', 'connection', 'close']); // [['etag', '7']]
 */
export function selectAnswerHeaders(raw: readonly string[]): Header[] {
  const selected: Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] ?? '').toLowerCase();
    if (isForwarded(name)) {
      selected.push([name, raw[index + 1] ?? '']);
    }
  }
  return selected;
}

/**
 * Returns a header that has exactly one value, or undefined.
 *
 * @example
 * getSingleHeader({'idempotency-key': 'k'}, 'idempotency-key'); // 'k'
 */
export function getSingleHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
}
