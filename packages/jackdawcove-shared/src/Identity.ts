/** Names and identifiers of the fleet. */

import {isIP} from 'node:net';

import {z} from 'zod';

const MAXIMUM_NAME_LENGTH = 64;
const NAME_PATTERN = /^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$/;
const MAXIMUM_PORT = 65_535;

/** One slot takes one connection, and an address has this many ports. */
export const MAXIMUM_SLOTS = MAXIMUM_PORT;

const IPV6_SCOPE_SEPARATOR = '%';

/** Schema of a name: letters, digits, dots, hyphens and underscores. */
export const nameSchema = z
  .string()
  .min(1)
  .max(MAXIMUM_NAME_LENGTH)
  .regex(NAME_PATTERN);

/** Schema of the address of a process: an IP address and a port. */
export const addressSchema = z.object({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.int().min(1).max(MAXIMUM_PORT),
});

/** Address of a process. */
export type Address = z.infer<typeof addressSchema>;

/** Name of a daemon, unique in the fleet. It is the name of its VM. */
export type DaemonName = string;

/** Name of a service. */
export type ServiceName = string;

/** Name of an instance of a service. */
export type InstanceName = string;

/** Name of an availability zone. */
export type AvailabilityZoneName = string;

/** Number that increases with each restart of a process under the same name. */
export type Incarnation = number;

/**
 * Formats an address as "host:port" with brackets around an IPv6 host.
 *
 * @example
 * formatAddress({host: '127.0.0.1', port: 7000}); // '127.0.0.1:7000'
 */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${String(address.port)}`;
}

/**
 * Parses "host:port" and returns undefined unless the host is an IP address and
 * the port is valid.
 *
 * @example
 * parseAddress('[::1]:7000'); // {host: '::1', port: 7000}
 */
export function parseAddress(text: string): Address | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d+)$/.exec(text);
  if (match === null) {
    return undefined;
  }
  const host = match[1] ?? match[2] ?? '';
  const port = Number(match[3]);
  const isAddress =
    isIP(host) !== 0 &&
    !host.includes(IPV6_SCOPE_SEPARATOR) &&
    port >= 1 &&
    port <= MAXIMUM_PORT;
  return isAddress ? {host, port} : undefined;
}

/**
 * Returns whether a value is a name; it accepts what `nameSchema` accepts, at a
 * fraction of the cost.
 *
 * @example
 * isName('erie-1'); // true
 */
export function isName(value: unknown): value is string {
  return (
    typeof value === 'string' &&
    value.length <= MAXIMUM_NAME_LENGTH &&
    NAME_PATTERN.test(value)
  );
}

/**
 * Returns whether a value is a count: an integer from 0 on that a number holds
 * exactly.
 *
 * @example
 * isCount(3); // true
 */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
