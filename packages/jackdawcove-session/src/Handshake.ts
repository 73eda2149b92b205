/** Handshake proofs: HMACs with the fleet key over both greetings. */

import type {FrameFields} from './FrameSchemas.js';
import type {FleetKeys} from './SessionTypes.js';
import type {Address, DaemonName, Incarnation} from 'jackdawcove-shared';

import {createHmac, timingSafeEqual} from 'node:crypto';

/** Identity that one end presents in the handshake. */
export type Greeting = {
  readonly address: Address;
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
  readonly nonce: Uint8Array;
  readonly version: number;
};

/** Greetings of both ends, which a proof covers. */
export type Transcript = {
  readonly acceptor: Greeting;
  readonly initiator: Greeting;
};

/** What a proof authenticates: one end, or the session for its tag. */
export type ProofRole = 'acceptor' | 'initiator' | 'session';

const HMAC_ALGORITHM = 'sha256';

/** Returns the accepted keys, the current one first. */
export function listKeys(keys: FleetKeys): readonly string[] {
  return keys.previous === undefined
    ? [keys.current]
    : [keys.current, keys.previous];
}

/**
 * Creates the proof for a role with one key.
 *
 * @example
 * createProof(key, 'acceptor', {acceptor, initiator});
 */
export function createProof(
  key: string,
  role: ProofRole,
  transcript: Transcript,
): Buffer {
  const hmac = createHmac(HMAC_ALGORITHM, key);
  hmac.update(`jackdawcove ${role}\n`);
  for (const greeting of [transcript.initiator, transcript.acceptor]) {
    hmac.update(formatGreeting(greeting));
    hmac.update(greeting.nonce);
  }
  return hmac.digest();
}

/**
 * Returns the accepted key that produced one of the proofs, or undefined.
 *
 * @example
 * findMatchingKey(keys, 'initiator', transcript, [proof]);
 */
export function findMatchingKey(
  keys: FleetKeys,
  role: ProofRole,
  transcript: Transcript,
  proofs: readonly Uint8Array[],
): string | undefined {
  return listKeys(keys).find((key) => {
    const expected = createProof(key, role, transcript);
    return proofs.some((proof) => isSameBytes(expected, proof));
  });
}

/** Returns the tag that binds every frame to its session. */
export function createSessionTag(key: string, transcript: Transcript): number {
  return createProof(key, 'session', transcript).readUInt32BE(0);
}

/** Extracts the greeting from the fields of a frame. */
export function toGreeting(
  fields: FrameFields['challenge'] | FrameFields['hello'],
): Greeting {
  const {address, incarnation, name, nonce, version} = fields;
  return {address, incarnation, name, nonce: Uint8Array.from(nonce), version};
}

function formatGreeting(greeting: Greeting): string {
  const {address, incarnation, name, version} = greeting;
  return `${JSON.stringify([version, name, incarnation, address.host, address.port])}\n`;
}

function isSameBytes(left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}
