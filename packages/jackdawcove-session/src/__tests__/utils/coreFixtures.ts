/** Two session cores whose exchange of bytes a test controls. */

import type {SessionRole} from '../../HandshakeMachine.js';
import type {SessionEffect} from '../../SessionEffects.js';
import type {
  FleetKeys,
  SessionLimits,
  SessionSwitches,
} from '../../SessionTypes.js';

import {createHash} from 'node:crypto';

import {DEFAULT_LIMITS, DEFAULT_SWITCHES} from '../../SessionConstants.js';
import {SessionCore} from '../../SessionCore.js';
import {FLEET_KEY} from './poolFixtures.js';

/** One end of a session under test. */
export type TestEndpoint = {
  readonly core: SessionCore;
  /** Effects except `send`. */
  readonly effects: SessionEffect[];
  /** Bytes in flight to the peer, one item for each `send` effect. */
  readonly sent: Buffer[];
};

/** Options of one end. */
export type TestEndpointOptions = {
  readonly expectedName?: string;
  readonly fleetKeys?: FleetKeys;
  readonly limits?: Partial<SessionLimits>;
  readonly name?: string;
  readonly nonceSeed?: string;
  readonly switches?: Partial<SessionSwitches>;
  readonly version?: number;
};

/** Budget of a flush without a limit. */
export const UNLIMITED_BYTES = Number.MAX_SAFE_INTEGER;

/** Creates one end of a session at time 0. */
export function createEndpoint(
  role: SessionRole,
  options: TestEndpointOptions = {},
): TestEndpoint {
  const nonce = createHash('sha256')
    .update(`${role} ${options.nonceSeed ?? ''}`)
    .digest();
  const core = new SessionCore({
    expectedName: options.expectedName,
    fleetKeys: options.fleetKeys ?? {current: FLEET_KEY},
    getPeerRefusal: () => undefined,
    limits: {...DEFAULT_LIMITS, ...options.limits},
    now: 0,
    role,
    self: {
      address: {host: '127.0.0.1', port: 7_000},
      incarnation: 1,
      name: options.name ?? role,
      nonce,
      version: options.version ?? 1,
    },
    switches: {...DEFAULT_SWITCHES, ...options.switches},
  });
  return {core, effects: [], sent: []};
}

/** Records effects of an end; bytes are kept apart from other effects. */
export function recordEffects(
  endpoint: TestEndpoint,
  effects: readonly SessionEffect[],
): void {
  for (const effect of effects) {
    if (effect.kind === 'send') {
      endpoint.sent.push(Buffer.concat(effect.chunks));
    } else {
      endpoint.effects.push(effect);
    }
  }
}

/** Flushes an end and delivers everything in flight to its peer. */
export function deliver(from: TestEndpoint, to: TestEndpoint): void {
  recordEffects(from, from.core.flush(UNLIMITED_BYTES));
  for (const bytes of from.sent.splice(0)) {
    recordEffects(to, to.core.receive(bytes));
  }
}

/** Delivers in both directions until nothing is in flight. */
export function settle(left: TestEndpoint, right: TestEndpoint): void {
  do {
    deliver(left, right);
    deliver(right, left);
  } while (left.sent.length + right.sent.length > 0);
}

/** Creates both ends and runs their handshake. */
export function openSession(
  options: TestEndpointOptions = {},
  acceptorOptions: TestEndpointOptions = options,
): {acceptor: TestEndpoint; initiator: TestEndpoint} {
  const initiator = createEndpoint('initiator', options);
  const acceptor = createEndpoint('acceptor', acceptorOptions);
  recordEffects(initiator, initiator.core.start());
  settle(initiator, acceptor);
  return {acceptor, initiator};
}

/** Returns the result with which a session closed, or undefined. */
export function getCloseResult(endpoint: TestEndpoint): string | undefined {
  const closed = endpoint.effects.find((effect) => effect.kind === 'closed');
  return closed?.failure.result;
}
