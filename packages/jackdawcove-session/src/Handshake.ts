/** Proofs of the fleet key that open a session, bound to both ends. */

import type {FrameFields} from './FrameSchemas.js';
import type {FleetKeys} from './SessionTypes.js';
import type {Address, DaemonName, Incarnation} from 'jackdawcove-shared';

import {createHmac, timingSafeEqual} from 'node:crypto';

/** What one end says of itself. */
export type Greeting = {
  readonly address: Address;
  readonly incarnation: Incarnation;
  readonly name: DaemonName;
  readonly nonce: Uint8Array;
  readonly version: number;
};

/** Greetings of both ends: what a proof is bound to. */
export type Transcript = {
  readonly acceptor: Greeting;
  readonly initiator: Greeting;
};

/** End of a session that a proof speaks for. */
export type ProofRole = 'acceptor' | 'initiator' | 'session';

const HMAC_ALGORITHM = 'sha256';

/** Lists the keys that are accepted, the current one first. */
export function listKeys(keys: FleetKeys): readonly string[] {
  return keys.previous === undefined
    ? [keys.current]
    : [keys.current, keys.previous];
}

/**
 * Creates the proof of one end under one key.
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
 * Returns the key that one of the proofs was made with, or undefined.
 *
 * @example
 * findProvedKey(keys, 'initiator', transcript, [proof]);
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

/** Takes the greeting out of a frame. */
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
