/** Handshake of one session: greeting, challenge and proof in both directions. */

import type {Frame, FrameFields} from './FrameSchemas.js';
import type {Greeting, Transcript} from './Handshake.js';
import type {FleetKeys} from './SessionTypes.js';
import type {DaemonName, Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';
import {match} from 'ts-pattern';

import {
  createProof,
  createSessionTag,
  findMatchingKey,
  listKeys,
  toGreeting,
} from './Handshake.js';
import {PROTOCOL_VERSION} from './SessionConstants.js';

/** Role of a daemon in one session. */
export type SessionRole = 'acceptor' | 'initiator';

/** A handshake frame to send. */
export type HandshakeReply =
  | {readonly fields: FrameFields['accepted']; readonly kind: 'accepted'}
  | {readonly fields: FrameFields['challenge']; readonly kind: 'challenge'}
  | {readonly fields: FrameFields['hello']; readonly kind: 'hello'}
  | {readonly fields: FrameFields['proof']; readonly kind: 'proof'}
  | {readonly fields: FrameFields['reject']; readonly kind: 'reject'};

/** Outcome of one step of the handshake. */
export type HandshakeOutcome =
  | {readonly failure: Failure; readonly kind: 'failed'}
  | {
      readonly kind: 'established';
      readonly peer: Greeting;
      readonly tag: number;
    }
  | {readonly kind: 'waiting'};

/** Replies to send, and the outcome that applies after them. */
export type HandshakeStep = {
  readonly outcome: HandshakeOutcome;
  readonly replies: readonly HandshakeReply[];
};

/** Options of a handshake. */
export type HandshakeOptions = {
  /** Returns why a session with this peer is refused, or undefined. */
  readonly getPeerRefusal: (peer: Greeting) => Failure | undefined;
  readonly expectedName: DaemonName | undefined;
  readonly fleetKeys: FleetKeys;
  readonly role: SessionRole;
  readonly self: Greeting;
};

const WAITING: HandshakeOutcome = {kind: 'waiting'};

/** State machine of the handshake for one end. */
export class HandshakeMachine {
  readonly #options: HandshakeOptions;
  #peer: Greeting | undefined;
  #tag: number | undefined;

  constructor(options: HandshakeOptions) {
    this.#options = options;
  }

  /** Starts the handshake; the initiator sends its greeting. */
  start(): HandshakeStep {
    const {expectedName, role, self} = this.#options;
    return role === 'acceptor'
      ? {outcome: WAITING, replies: []}
      : {
          outcome: WAITING,
          replies: [{fields: {...self, expectedName}, kind: 'hello'}],
        };
  }

  /** Handles a frame of the peer. */
  handleFrame(frame: Frame): HandshakeStep {
    const {role} = this.#options;
    return match({frame, role})
      .with({frame: {kind: 'hello'}, role: 'acceptor'}, ({frame: {fields}}) =>
        this.#handleHello(fields),
      )
      .with({frame: {kind: 'proof'}, role: 'acceptor'}, ({frame: {fields}}) =>
        this.#handleProof(fields),
      )
      .with(
        {frame: {kind: 'challenge'}, role: 'initiator'},
        ({frame: {fields}}) => this.#handleChallenge(fields),
      )
      .with({frame: {kind: 'accepted'}, role: 'initiator'}, () =>
        this.#handleAccepted(),
      )
      .with({frame: {kind: 'reject'}, role: 'initiator'}, ({frame: {fields}}) =>
        fail(fields.failure),
      )
      .otherwise(() => fail(createFailure('frameMalformed', frame.kind)));
  }

  #handleAccepted(): HandshakeStep {
    if (this.#peer === undefined || this.#tag === undefined) {
      return fail(createFailure('frameMalformed', 'accepted'));
    }
    return {
      outcome: {kind: 'established', peer: this.#peer, tag: this.#tag},
      replies: [],
    };
  }

  #handleChallenge(fields: FrameFields['challenge']): HandshakeStep {
    const {expectedName, fleetKeys, self} = this.#options;
    const peer = toGreeting(fields);
    if (this.#peer !== undefined) {
      return fail(createFailure('frameMalformed', 'second challenge'));
    }
    if (peer.version !== PROTOCOL_VERSION) {
      return fail(createFailure('protocolVersionMismatch', peer.name));
    }
    const transcript: Transcript = {acceptor: peer, initiator: self};
    const key = findMatchingKey(
      fleetKeys,
      'acceptor',
      transcript,
      fields.proofs,
    );
    if (key === undefined) {
      return fail(createFailure('authenticationFailed', peer.name));
    }
    if (expectedName !== undefined && expectedName !== peer.name) {
      return fail(createFailure('daemonUnreachable', `found ${peer.name}`));
    }
    this.#peer = peer;
    this.#tag = createSessionTag(key, transcript);
    const proof = createProof(key, 'initiator', transcript);
    return {outcome: WAITING, replies: [{fields: {proof}, kind: 'proof'}]};
  }

  #handleHello(fields: FrameFields['hello']): HandshakeStep {
    const {fleetKeys, getPeerRefusal, self} = this.#options;
    const peer = toGreeting(fields);
    if (this.#peer !== undefined) {
      return reject(createFailure('frameMalformed', 'second hello'));
    }
    if (peer.version !== PROTOCOL_VERSION) {
      return reject(createFailure('protocolVersionMismatch', peer.name));
    }
    const expectedName = fields.expectedName ?? self.name;
    if (expectedName !== self.name || peer.name === self.name) {
      return reject(createFailure('daemonUnreachable', `this is ${self.name}`));
    }
    const refusal = getPeerRefusal(peer);
    if (refusal !== undefined) {
      return reject(refusal);
    }
    this.#peer = peer;
    const transcript: Transcript = {acceptor: self, initiator: peer};
    const proofs = listKeys(fleetKeys).map((key) =>
      createProof(key, 'acceptor', transcript),
    );
    return {
      outcome: WAITING,
      replies: [{fields: {...self, proofs}, kind: 'challenge'}],
    };
  }

  #handleProof(fields: FrameFields['proof']): HandshakeStep {
    const {fleetKeys, getPeerRefusal, self} = this.#options;
    const peer = this.#peer;
    if (peer === undefined) {
      return reject(createFailure('frameMalformed', 'proof before hello'));
    }
    const transcript: Transcript = {acceptor: self, initiator: peer};
    const {proof} = fields;
    const key = findMatchingKey(fleetKeys, 'initiator', transcript, [proof]);
    if (key === undefined) {
      return reject(createFailure('authenticationFailed', peer.name));
    }
    const refusal = getPeerRefusal(peer);
    if (refusal !== undefined) {
      return reject(refusal);
    }
    const tag = createSessionTag(key, transcript);
    return {
      outcome: {kind: 'established', peer, tag},
      replies: [{fields: {}, kind: 'accepted'}],
    };
  }
}

function fail(failure: Failure): HandshakeStep {
  return {outcome: {failure, kind: 'failed'}, replies: []};
}

function reject(failure: Failure): HandshakeStep {
  return {
    outcome: {failure, kind: 'failed'},
    replies: [{fields: {failure}, kind: 'reject'}],
  };
}
