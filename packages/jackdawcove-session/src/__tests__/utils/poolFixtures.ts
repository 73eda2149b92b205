/** Test pools on loopback and calls between them. */

import type {CallHead} from '../../SessionSchemas.js';
import type {
  AttemptResolution,
  CallFailure,
  IncomingCall,
  ResolutionHandlers,
  SessionEvent,
  SessionLimits,
  SessionSwitches,
} from '../../SessionTypes.js';
import type {Address} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {SessionPool} from '../../SessionPool.js';

/** Fleet key of the tests. */
export const FLEET_KEY = 'fleet key of the tests';

/** Pool, its address and the events that it reported. */
export type TestPool = {
  readonly address: Address;
  readonly events: SessionEvent[];
  readonly pool: SessionPool;
};

/** Options of a test pool. */
export type TestPoolOptions = {
  readonly fleetKeys?: {current: string; previous?: string};
  readonly incarnation?: number;
  readonly limits?: Partial<SessionLimits>;
  readonly listen?: Address;
  readonly switches?: Partial<SessionSwitches>;
};

/** Outcome of a call, with the parts of the answer that arrived. */
export type CallOutcome = {
  readonly body: Buffer;
  readonly failure?: CallFailure;
  readonly kind: 'end' | 'failure' | 'refused' | 'resolution';
  readonly resolutions: readonly AttemptResolution[];
  readonly resultName?: string;
  readonly status?: number | undefined;
};

/** Starts a pool that looks up other daemons in a shared directory. */
export async function startPool(
  name: string,
  directory: Map<string, Address>,
  options: TestPoolOptions = {},
): Promise<TestPool> {
  const events: SessionEvent[] = [];
  const pool = new SessionPool({
    clock: () => performance.now(),
    fleetKeys: options.fleetKeys ?? {current: FLEET_KEY},
    limits: options.limits,
    listen: options.listen ?? {host: '127.0.0.1', port: 0},
    onEvent: (event) => events.push(event),
    randomNumber: createSeededRandom(1),
    resolveAddress: (other) => directory.get(other),
    self: {incarnation: options.incarnation ?? 1, name},
    switches: options.switches,
  });
  const address = await pool.start();
  directory.set(name, address);
  return {address, events, pool};
}

/** Creates the head of a call. */
export function createHead(
  attemptIdentifier: string,
  overrides: Partial<CallHead> = {},
): CallHead {
  return {
    attempt: {service: 'orders'},
    attemptIdentifier,
    headers: [['content-type', 'text/plain']],
    remainingMilliseconds: 10_000,
    tokens: 2,
    ...overrides,
  };
}

/** Answers a call with the body of its request, chunk by chunk. */
export function echo(incoming: IncomingCall): void {
  incoming.accept({
    onBody: (bytes) => {
      incoming.grantCredit(bytes.length);
      incoming.write(bytes);
    },
    onCancel: () => undefined,
    onEnd: () => {
      incoming.end({load: undefined, tokensReturned: 1});
    },
  });
  sendOk(incoming);
}

/** Sends the head of a successful answer. */
export function sendOk(incoming: IncomingCall): void {
  incoming.sendHead({
    executed: 'yes',
    headers: [],
    load: undefined,
    resultNumber: 0,
    status: 200,
  });
}

/** Creates handlers that collect the outcome of a call. */
export function createOutcomeCollector(
  onDone: (outcome: CallOutcome) => void,
  onBytes?: (bytes: Uint8Array) => void,
): ResolutionHandlers {
  const parts: Uint8Array[] = [];
  const resolutions: AttemptResolution[] = [];
  let status: number | undefined;
  const getOutcome = () => ({body: Buffer.concat(parts), resolutions, status});
  return {
    onBody: (bytes) => {
      parts.push(bytes);
      onBytes?.(bytes);
    },
    onEnd: () => {
      onDone({...getOutcome(), kind: 'end'});
    },
    onFailure: (failure) => {
      onDone({...getOutcome(), failure, kind: 'failure'});
    },
    onHead: (head) => {
      status = head.status;
    },
    onRefused: ({failure}) => {
      const resultName = failure.result;
      onDone({...getOutcome(), kind: 'refused', resultName});
    },
    onResolution: (resolution) => {
      resolutions.push(resolution);
      if (resolution === 'neverSeen' || resolution === 'unknown') {
        onDone({...getOutcome(), kind: 'resolution'});
      }
    },
  };
}

/** Calls a daemon with a body and waits for the outcome. */
export function callWith(
  pool: SessionPool,
  to: string,
  head: CallHead,
  body: Uint8Array,
): Promise<CallOutcome> {
  return new Promise((resolve) => {
    const call = pool.openCall(
      to,
      head,
      createOutcomeCollector(resolve, (bytes) => {
        call.grantCredit(bytes.length);
      }),
    );
    call.write(body);
    call.end();
  });
}
