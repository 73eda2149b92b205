/** Daemon of an in-memory chain with its fake backend server. */

import type {ListInstances, ResolvePolicy} from '../index.js';
import type {EventLoop} from './EventLoop.js';
import type {Mode} from './Modes.js';
import type {InstanceCandidate} from 'jackdawcove-routing';

import {AdmissionController} from 'jackdawcove-admission';
import {CrashQuarantine} from 'jackdawcove-quarantine';
import {InstanceChooser} from 'jackdawcove-routing';
import {createSeededRandom} from 'jackdawcove-shared';

import {CallerSide, CallsInProgress, ServerSide} from '../index.js';
import {AdaptiveThrottle} from './AdaptiveThrottle.js';
import {FakeBackend} from './FakeBackend.js';

/** Daemon with its fake backend server. */
export type FakeDaemon = {
  readonly backend: FakeBackend;
  readonly callerSide: CallerSide;
  readonly depth: number;
  readonly serverSide: ServerSide;
  readonly throttle: AdaptiveThrottle;
};

/** Settings of a daemon. */
export type FakeDaemonOptions = {
  readonly depth: number;
  readonly listInstances: ListInstances;
  readonly loop: EventLoop;
  readonly mode: Mode;
  readonly name: string;
  readonly resolvePolicy: ResolvePolicy;
  readonly seed: number;
  /** Number of requests that run without contention; defaults to the slots. */
  readonly parallelism?: number | undefined;
  readonly slots: number;
};

const CONNECTIONS_PER_SLOT = 10;
const INCARNATION = 1;
const ZONE = 'erie-dock';
const REGION = 'lakes';

/**
 * Creates a daemon and announces its instance.
 *
 * @example
 * createFakeDaemon({...options, name: 'service0-0', slots: 35});
 */
export function createFakeDaemon(options: FakeDaemonOptions): FakeDaemon {
  const {listInstances, loop, mode, name, slots} = options;
  const callsInProgress = new CallsInProgress();
  const quarantine = new CrashQuarantine();
  const randomNumber = createSeededRandom(options.seed);
  const callerSide = new CallerSide({
    callsInProgress,
    chooser: new InstanceChooser({
      availabilityZone: ZONE,
      daemon: name,
      randomNumber,
      region: REGION,
      switches: mode.routing,
    }),
    listInstances,
    quarantine,
    resolvePolicy: options.resolvePolicy,
    switches: mode.caller,
  });
  const serverSide = new ServerSide({
    admission: new AdmissionController({
      createLimitStrategy: mode.createLimitStrategy,
      switches: mode.admission,
    }),
    callsInProgress,
    daemonIncarnation: INCARNATION,
    listInstances,
    quarantine,
    startedAt: 0,
  });
  announce(serverSide, options);
  return {
    backend: new FakeBackend(loop, slots, options.parallelism),
    callerSide,
    depth: options.depth,
    serverSide,
    throttle: new AdaptiveThrottle(randomNumber),
  };
}

/**
 * Creates the entry of a daemon's instance in the membership view.
 *
 * @example
 * createCandidate('service0-0', 35);
 */
export function createCandidate(
  name: string,
  slots: number,
): InstanceCandidate {
  return {
    availabilityZone: ZONE,
    daemon: name,
    daemonIncarnation: INCARNATION,
    instance: name,
    instanceIncarnation: INCARNATION,
    isDraining: false,
    isReachable: true,
    region: REGION,
    slots,
  };
}

/**
 * Returns the name of the service at a depth.
 *
 * @example
 * getService(0); // 'service0'
 */
export function getService(depth: number): string {
  return `service${String(depth)}`;
}

function announce(serverSide: ServerSide, options: FakeDaemonOptions): void {
  const {depth, name, slots} = options;
  const instance = {
    connections: slots * CONNECTIONS_PER_SLOT,
    incarnation: INCARNATION,
    instance: name,
    service: getService(depth),
    slots,
  };
  serverSide.handle({instance, kind: 'announced'}, 0);
}
