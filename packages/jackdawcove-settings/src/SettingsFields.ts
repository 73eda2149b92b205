/** Schemas of single settings: text of the file in, typed value out. */

import {addressSchema, nameSchema, parseAddress} from 'jackdawcove-shared';
import {z} from 'zod';

/** Least, greatest and default value of a whole number. */
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

/** Schema of an address to listen on: port 0 takes any free port. */
export const listenAddressSchema = addressSchema.extend({
  port: z.int().min(ANY_PORT).max(MAXIMUM_PORT),
});

/** Address to listen on. */
export type ListenAddress = z.infer<typeof listenAddressSchema>;

/**
 * Tells whether a host is a loopback IP number.
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

/** Setting of free text that is not blank. */
export const textField = z.string().trim().min(1).describe('a non-blank text');

/** Setting of a name. */
export const nameField = nameSchema.describe(
  'a name of 1 to 64 letters, digits, ".", "_" or "-"',
);

/** Setting of a list of names. */
export const nameListField = z
  .string()
  .transform(splitList)
  .pipe(z.array(nameSchema).refine(isUnique))
  .describe('a comma-separated list of different names');

/** Setting of a list of names that must not be empty. */
export const requiredNameListField = z
  .string()
  .transform(splitList)
  .pipe(z.array(nameSchema).min(1).refine(isUnique))
  .describe('a comma-separated list of one or more different names');

/** Setting of the address of another process. */
export const addressField = z
  .string()
  .transform(parseAddress)
  .pipe(addressSchema)
  .describe('IP:PORT with a port from 1 to 65535');

/** Setting of a list of addresses of other processes. */
export const addressListField = z
  .string()
  .transform((text) => splitList(text).map(parseAddress))
  .pipe(z.array(addressSchema))
  .describe('a comma-separated list of IP:PORT');

/** Setting of an address to listen on. */
export const listenAddressField = z
  .string()
  .transform(parseListenAddress)
  .pipe(listenAddressSchema)
  .describe('IP:PORT with a port from 0 (any free port) to 65535');

/** Setting of a loopback address to listen on. */
export const loopbackAddressField = z
  .string()
  .transform(parseListenAddress)
  .pipe(listenAddressSchema.refine(({host}) => isLoopback(host)))
  .describe('a loopback IP:PORT, for example 127.0.0.1:7102');

/** Setting of a boolean. */
export const booleanField = z
  .enum(['false', 'true'])
  .transform((text) => text === 'true')
  .describe('true or false');

/**
 * Creates the setting of a whole number within a range, with a default.
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
