/** Idempotency keys: `[availabilityZone.]UUIDv7`. */

import type {
  AvailabilityZoneName,
  Milliseconds,
  RandomNumber,
} from 'jackdawcove-shared';

import {hashToUint32, nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

/** A parsed idempotency key. */
export type IdempotencyKey = {
  /** The 128 bits of the UUID in base64url. */
  readonly identifier: KeyIdentifier;
  readonly mintedAtMilliseconds: Milliseconds;
  /** Home zone given as the prefix of the key, or undefined. */
  readonly zonePrefix: AvailabilityZoneName | undefined;
};

const UUID_PATTERN =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const IDENTIFIER_LENGTH = 22;
const IDENTIFIER_BYTES = 16;
const TIMESTAMP_BYTES = 6;
const VERSION_BYTE = 6;
const VARIANT_BYTE = 8;
const VERSION_BITS = 0x70;
const VARIANT_BITS = 0x80;
const LOW_NIBBLE = 0x0f;
const LOW_SIX_BITS = 0x3f;
const BYTE_RANGE = 256;

/** Schema of the identifier of a key, as sent in messages. */
export const keyIdentifierSchema = z
  .string()
  .length(IDENTIFIER_LENGTH)
  .regex(/^[A-Za-z0-9_-]+$/);

/** Identifier of a key: its UUID in base64url. */
export type KeyIdentifier = z.infer<typeof keyIdentifierSchema>;

/**
 * Returns the time at which a key was minted.
 *
 * @example
 * getMintTime(key.identifier) === key.mintedAtMilliseconds;
 */
export function getMintTime(identifier: KeyIdentifier): Milliseconds {
  return Buffer.from(identifier, 'base64url').readUIntBE(0, TIMESTAMP_BYTES);
}

/**
 * Parses a key; returns undefined if it is invalid.
 *
 * @example
 * parseIdempotencyKey('erie-dock.01890a5d-ac96-774b-bcce-b302099a8057');
 */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const separator = text.lastIndexOf('.');
  const uuid = text.slice(separator + 1).toLowerCase();
  const zonePrefix = separator < 0 ? undefined : text.slice(0, separator);
  const isPrefixValid =
    zonePrefix === undefined || nameSchema.safeParse(zonePrefix).success;
  if (!isPrefixValid || !UUID_PATTERN.test(uuid)) {
    return undefined;
  }
  const bytes = Buffer.from(uuid.replaceAll('-', ''), 'hex');
  const identifier = bytes.toString('base64url');
  return {
    identifier,
    mintedAtMilliseconds: getMintTime(identifier),
    zonePrefix,
  };
}

/**
 * Creates a new key with the given availability zone as its home zone.
 *
 * @example
 * mintIdempotencyKey('erie-dock', wallClock(), randomNumber);
 */
export function mintIdempotencyKey(
  zone: AvailabilityZoneName,
  now: Milliseconds,
  randomNumber: RandomNumber,
): string {
  const bytes = Buffer.alloc(IDENTIFIER_BYTES);
  bytes.writeUIntBE(Math.floor(now), 0, TIMESTAMP_BYTES);
  for (let i = TIMESTAMP_BYTES; i < IDENTIFIER_BYTES; i += 1) {
    bytes[i] = Math.floor(randomNumber() * BYTE_RANGE);
  }
  bytes[VERSION_BYTE] =
    ((bytes[VERSION_BYTE] ?? 0) & LOW_NIBBLE) | VERSION_BITS;
  bytes[VARIANT_BYTE] =
    ((bytes[VARIANT_BYTE] ?? 0) & LOW_SIX_BITS) | VARIANT_BITS;
  const uuid = bytes
    .toString('hex')
    .replace(/^(.{8})(.{4})(.{4})(.{4})(.{12})$/, '$1-$2-$3-$4-$5');
  return `${zone}.${uuid}`;
}

/**
 * Returns the home zone of a key: the zone of its prefix, or without a prefix
 * one chosen by hash. Returns undefined if the prefix names an unknown zone.
 *
 * @example
 * getHomeZone(key, assignments.availabilityZones);
 */
export function getHomeZone(
  key: IdempotencyKey,
  zones: readonly AvailabilityZoneName[],
): AvailabilityZoneName | undefined {
  if (key.zonePrefix !== undefined) {
    return zones.includes(key.zonePrefix) ? key.zonePrefix : undefined;
  }
  return zones[hashToUint32(key.identifier) % zones.length];
}

/**
 * Returns the slice of the key space of its zone that a key belongs to.
 *
 * @example
 * getSlice(key.identifier, assignments.slicesPerZone);
 */
export function getSlice(identifier: KeyIdentifier, slices: number): number {
  return hashToUint32(`slice ${identifier}`) % slices;
}
