/** Heads of HTTP/1.1 messages: start line and headers. */

import {LINE_END} from '../RelayConstants.js';

/**
 * Whether the daemon forwards or drops a header. A head that repeats one with the rule
 * `forwardOnce` is malformed. A `secret` is dropped, and the value of a repeated one is
 * all its values, so that no value is preferred.
 */
export type HeaderRule = 'drop' | 'forward' | 'forwardOnce' | 'secret';

/** Rules of the headers that the daemon reads, by lower-case name. */
export type HeaderRules = ReadonlyMap<string, HeaderRule>;

/** A head with valid syntax. */
export type HttpHead = {
  /** Header lines for the next hop, each with its line terminator. */
  readonly forwardedLines: string;
  readonly startLine: string;
  /** Values of the headers that have a rule, by lower-case name. */
  readonly values: ReadonlyMap<string, string>;
};

const TOKEN_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

// Parsers disagree on bare CR, bare LF and NUL.
const UNSAFE_PATTERN = /\0|\r[^\n]|[^\r]\n|^\n|\r$/;

/** Size of the cache of normalized header names; heads repeat the same few. */
const MAXIMUM_CACHED_NAMES = 512;

/** Rules of the hop-by-hop headers and of those that frame a body. */
const CONNECTION_RULES: readonly (readonly [string, HeaderRule])[] = [
  ['connection', 'drop'],
  ['content-length', 'drop'],
  ['expect', 'drop'],
  ['keep-alive', 'drop'],
  ['proxy-connection', 'drop'],
  ['te', 'drop'],
  ['trailer', 'drop'],
  ['transfer-encoding', 'drop'],
  ['upgrade', 'drop'],
];

const FORWARDING_RULES: ReadonlySet<HeaderRule> = new Set<HeaderRule>([
  'forward',
  'forwardOnce',
]);

/** Headers that must not be repeated: two parsers could pick different values. */
const SINGLE_HEADERS: ReadonlySet<string> = new Set([
  'content-length',
  'host',
  'transfer-encoding',
]);

/**
 * Combines the header rules of a dialect with those of HTTP itself.
 *
 * @example
 * createHeaderRules([['host', 'forward']]).get('connection'); // 'drop'
 */
export function createHeaderRules(
  dialectRules: readonly (readonly [string, HeaderRule])[],
): HeaderRules {
  return new Map([...CONNECTION_RULES, ...dialectRules]);
}

/**
 * Parses a head without its empty line; returns undefined when it is malformed.
 *
 * @example
 * parseHead('GET / HTTP/1.1\r\nhost: a.example', rules)?.values.get('host');
 */
export function parseHead(
  text: string,
  rules: HeaderRules,
): HttpHead | undefined {
  if (UNSAFE_PATTERN.test(text)) {
    return undefined;
  }
  const lines = text.split(LINE_END);
  const startLine = lines.shift() ?? '';
  const values = new Map<string, string>();
  let forwardedLines = '';
  for (const line of lines) {
    const colon = line.indexOf(':');
    const name = colon > 0 ? normalizeName(line.slice(0, colon)) : undefined;
    if (name === undefined) {
      return undefined;
    }
    const rule = rules.get(name);
    if (rule !== undefined) {
      const isSingle = SINGLE_HEADERS.has(name) || rule === 'forwardOnce';
      if (isSingle && values.has(name)) {
        return undefined;
      }
      const value = line.slice(colon + 1).trim();
      const first = rule === 'secret' ? values.get(name) : undefined;
      values.set(name, first === undefined ? value : `${first}, ${value}`);
    }
    if (rule === undefined || FORWARDING_RULES.has(rule)) {
      forwardedLines += line + LINE_END;
    }
  }
  return {
    forwardedLines: dropConnectionHeaders(forwardedLines, values),
    startLine,
    values,
  };
}

const normalizedNames = new Map<string, string>();

/** Returns a name in lower case; undefined when it is not a token. */
function normalizeName(rawName: string): string | undefined {
  const cached = normalizedNames.get(rawName);
  if (cached !== undefined) {
    return cached;
  }
  if (!TOKEN_PATTERN.test(rawName)) {
    return undefined;
  }
  const name = rawName.toLowerCase();
  if (normalizedNames.size < MAXIMUM_CACHED_NAMES) {
    normalizedNames.set(rawName, name);
  }
  return name;
}

/** Drops the headers that the Connection header lists. */
function dropConnectionHeaders(
  lines: string,
  values: ReadonlyMap<string, string>,
): string {
  const connection = values.get('connection');
  if (connection === undefined) {
    return lines;
  }
  const listedNames = connection
    .split(',')
    .map((name) => name.trim().toLowerCase())
    .filter((name) => name !== 'keep-alive' && name !== 'close');
  if (listedNames.length === 0) {
    return lines;
  }
  return lines
    .split(LINE_END)
    .filter((line) => {
      const name = line.slice(0, line.indexOf(':')).toLowerCase();
      return line !== '' && !listedNames.includes(name);
    })
    .map((line) => line + LINE_END)
    .join('');
}

/**
 * Returns whether the Connection header closes the connection after this message.
 *
 * @example
 * isConnectionClosed(head.values); // true for "Connection: close"
 */
export function isConnectionClosed(
  values: ReadonlyMap<string, string>,
): boolean {
  const connection = values.get('connection');
  return (
    connection !== undefined &&
    connection
      .toLowerCase()
      .split(',')
      .some((name) => name.trim() === 'close')
  );
}
