/**
 * Authenticated datagrams: a truncated HMAC-SHA-256 followed by a CBOR array.
 *
 * The signature covers the sender, the address of the receiver and a sequence
 * number; a receiver accepts each datagram at most once.
 */

import type {ChannelName, DaemonIdentity, FleetKeys} from './SessionTypes.js';
import type {Address, Failure} from 'jackdawcove-shared';

import {createHmac, timingSafeEqual} from 'node:crypto';

import {Decoder, Encoder} from 'cbor-x';
import {
  createFailure,
  formatAddress,
  isCount,
  isName,
} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {listKeys} from './Handshake.js';
import {MAXIMUM_DATAGRAM_BYTES, PROTOCOL_VERSION} from './SessionConstants.js';
import {isWildcardHost} from './SessionUtils.js';

const SIGNATURE_BYTES = 16;
const REPLAY_WINDOW_DATAGRAMS = 64;
const HMAC_ALGORITHM = 'sha256';
const HMAC_LABEL = 'jackdawcove datagram\n';
const CODEC_OPTIONS = {tagUint8Array: false, useRecords: false};

/**
 * Fields: protocol version, name and incarnation of the sender, sequence number,
 * address of the receiver, channel, message.
 */
type DatagramFields = [number, string, number, number, string, string, unknown];

const DATAGRAM_FIELD_COUNT = 7;

// A schema would cost more than the rest of the decoding.
function isDatagram(value: unknown): value is DatagramFields {
  return (
    Array.isArray(value) &&
    value.length === DATAGRAM_FIELD_COUNT &&
    value[0] === PROTOCOL_VERSION &&
    isName(value[1]) &&
    isCount(value[2]) &&
    isCount(value[3]) &&
    typeof value[4] === 'string' &&
    typeof value[5] === 'string' &&
    value[5].length > 0
  );
}

/** A datagram whose sender is authenticated. */
export type Datagram = {
  readonly channel: ChannelName;
  readonly message: unknown;
  readonly sender: DaemonIdentity;
};

/** Sequence numbers received from one process of a sender. */
type ReplayWindow = {
  highest: number;
  incarnation: number;
  readonly seen: Set<number>;
};

/** Signs datagrams; verifies received ones and rejects replays. */
export class DatagramCodec {
  readonly #decoder = new Decoder(CODEC_OPTIONS);
  readonly #encoder = new Encoder(CODEC_OPTIONS);
  readonly #fleetKeys: FleetKeys;
  readonly #self: DaemonIdentity;
  #sequence = 0;
  readonly #windows = new Map<string, ReplayWindow>();

  constructor(self: DaemonIdentity, fleetKeys: FleetKeys) {
    this.#fleetKeys = fleetKeys;
    this.#self = self;
  }

  /** Encodes and signs a datagram. */
  encode(
    to: Address,
    channel: ChannelName,
    message: unknown,
  ): Result<Uint8Array, Failure> {
    this.#sequence += 1;
    const {incarnation, name} = this.#self;
    const payload = this.#encoder.encode([
      PROTOCOL_VERSION,
      name,
      incarnation,
      this.#sequence,
      formatAddress(to),
      channel,
      message,
    ]);
    const length = SIGNATURE_BYTES + payload.length;
    if (length > MAXIMUM_DATAGRAM_BYTES) {
      return Result.err(createFailure('payloadTooLarge', String(length)));
    }
    const signature = sign(this.#fleetKeys.current, payload);
    return Result.ok(Buffer.concat([signature, payload], length));
  }

  /** Verifies and decodes a datagram received at an address of this daemon. */
  decode(bytes: Uint8Array, self: Address): Result<Datagram, Failure> {
    const signature = bytes.subarray(0, SIGNATURE_BYTES);
    const payload = bytes.subarray(SIGNATURE_BYTES);
    const isAuthentic =
      signature.length === SIGNATURE_BYTES &&
      listKeys(this.#fleetKeys).some((key) =>
        timingSafeEqual(sign(key, payload), signature),
      );
    if (!isAuthentic) {
      return Result.err(createFailure('authenticationFailed'));
    }
    const fields = this.#parse(payload);
    if (!isDatagram(fields)) {
      return Result.err(createFailure('frameMalformed', 'datagram'));
    }
    const [, name, incarnation, sequence, to, channel, message] = fields;
    const isForThisDaemon = isAddressedTo(to, self) && name !== this.#self.name;
    if (!isForThisDaemon || !this.#acceptOnce(name, incarnation, sequence)) {
      return Result.err(createFailure('frameReplayed', name));
    }
    return Result.ok({channel, message, sender: {incarnation, name}});
  }

  #acceptOnce(name: string, incarnation: number, sequence: number): boolean {
    let window = this.#windows.get(name);
    if (window === undefined || incarnation > window.incarnation) {
      window = {highest: 0, incarnation, seen: new Set()};
      this.#windows.set(name, window);
    }
    const isFresh =
      incarnation === window.incarnation &&
      sequence > window.highest - REPLAY_WINDOW_DATAGRAMS &&
      !window.seen.has(sequence);
    if (!isFresh) {
      return false;
    }
    window.seen.add(sequence);
    window.highest = Math.max(window.highest, sequence);
    if (window.seen.size > 2 * REPLAY_WINDOW_DATAGRAMS) {
      trimWindow(window);
    }
    return true;
  }

  #parse(payload: Uint8Array): unknown {
    try {
      return this.#decoder.decode(payload) as unknown;
    } catch {
      return undefined;
    }
  }
}

function isAddressedTo(to: string, self: Address): boolean {
  return isWildcardHost(self.host)
    ? to.endsWith(`:${String(self.port)}`)
    : to === formatAddress(self);
}

function sign(key: string, payload: Uint8Array): Buffer {
  const hmac = createHmac(HMAC_ALGORITHM, key);
  return hmac
    .update(HMAC_LABEL)
    .update(payload)
    .digest()
    .subarray(0, SIGNATURE_BYTES);
}

function trimWindow(window: ReplayWindow): void {
  for (const sequence of window.seen) {
    if (sequence <= window.highest - REPLAY_WINDOW_DATAGRAMS) {
      window.seen.delete(sequence);
    }
  }
}
