/** Schemas of individual settings, from text in the file to a typed value. */

import {addressSchema, nameSchema, parseAddress} from 'jackdawcove-shared';
import {z} from 'zod';

/** Minimum, maximum and default value of an integer setting. */
export type IntegerRange = {
  readonly defaultValue: number;
  readonly maximum: number;
  readonly minimum: number;
};

const LIST_SEPARATOR = ',';
const ANY_PORT = 0;
const MAXIMUM_PORT = 65_535;
const WHOLE_NUMBER_PATTERN = /^\d{1,15}$/;
const LOOPBACK_V4_PREFIX = '127.';
const LOOPBACK_V6 = '::1';

/** Schema of an address to listen on. Port 0 selects any free port. */
export const listenAddressSchema = addressSchema.extend({
  port: z.int().min(ANY_PORT).max(MAXIMUM_PORT),
});

/** Address to listen on. */
export type ListenAddress = z.infer<typeof listenAddressSchema>;

/**
 * Returns whether a host is a loopback IP address.
 *
 * @example
 * isLoopback('127.0.0.1'); // true
 */
export function isLoopback(host: string): boolean {
  return host.startsWith(LOOPBACK_V4_PREFIX) || host === LOOPBACK_V6;
}

function splitList(text: string): string[] {
  const parts = text.split(LIST_SEPARATOR).map((part) => part.trim());
  return parts.filter((part) => part !== '');
}

function isUnique(items: readonly unknown[]): boolean {
  return new Set(items).size === items.length;
}

function parseListenAddress(text: string): ListenAddress | undefined {
  const match = /^(.+):0$/.exec(text);
  const parsed = parseAddress(
    match === null ? text : `${String(match[1])}:${String(MAXIMUM_PORT)}`,
  );
  if (parsed === undefined || match === null) {
    return parsed;
  }
  return {...parsed, port: ANY_PORT};
}

/** Schema of a setting with non-blank text. */
export const textField = z.string().trim().min(1).describe('a non-blank text');

/** Schema of a setting with a name. */
export const nameField = nameSchema.describe(
  'a name of 1 to 64 letters, digits, ".", "_" or "-"',
);

/** Schema of a setting with a list of unique names. */
export const nameListField = z
  .string()
  .transform(splitList)
  .pipe(z.array(nameSchema).refine(isUnique))
  .describe('a comma-separated list of different names');

/** Schema of a setting with a non-empty list of unique names. */
export const requiredNameListField = z
  .string()
  .transform(splitList)
  .pipe(z.array(nameSchema).min(1).refine(isUnique))
  .describe('a comma-separated list of one or more different names');

/** Schema of a setting with the address of another process. */
export const addressField = z
  .string()
  .transform(parseAddress)
  .pipe(addressSchema)
  .describe('IP:PORT with a port from 1 to 65535');

/** Schema of a setting with a list of addresses of other processes. */
export const addressListField = z
  .string()
  .transform((text) => splitList(text).map(parseAddress))
  .pipe(z.array(addressSchema))
  .describe('a comma-separated list of IP:PORT');

/** Schema of a setting with an address to listen on. */
export const listenAddressField = z
  .string()
  .transform(parseListenAddress)
  .pipe(listenAddressSchema)
  .describe('IP:PORT with a port from 0 (any free port) to 65535');

/** Schema of a setting with a loopback address to listen on. */
export const loopbackAddressField = z
  .string()
  .transform(parseListenAddress)
  .pipe(listenAddressSchema.refine(({host}) => isLoopback(host)))
  .describe('a loopback IP:PORT, for example 127.0.0.1:7102');

/** Schema of a boolean setting. */
export const booleanField = z
  .enum(['false', 'true'])
  .transform((text) => text === 'true')
  .describe('true or false');

/**
 * Creates the schema of an integer setting with a range and a default.
 *
 * @example
 * createIntegerField({defaultValue: 10, maximum: 100, minimum: 1}).parse('7'); // 7
 */
export function createIntegerField(range: IntegerRange) {
  const {defaultValue, maximum, minimum} = range;
  return z
    .string()
    .regex(WHOLE_NUMBER_PATTERN)
    .transform(Number)
    .pipe(z.int().min(minimum).max(maximum))
    .default(defaultValue)
    .describe(`a whole number from ${String(minimum)} to ${String(maximum)}`);
}
