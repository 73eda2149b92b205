/** In-memory daemons whose messages a test delivers itself. */

import type {
  CallerSideEffect,
  CallerSwitches,
  CallPolicy,
  CallRequest,
  ServerSideEffect,
  ServerSwitches,
} from '../index.js';
import type {AdmissionSwitches} from 'jackdawcove-admission';
import type {InstanceCandidate} from 'jackdawcove-routing';
import type {Milliseconds} from 'jackdawcove-shared';

import {
  AdmissionController,
  DEFAULT_ADMISSION_SWITCHES,
} from 'jackdawcove-admission';
import {CrashQuarantine} from 'jackdawcove-quarantine';
import {InstanceChooser} from 'jackdawcove-routing';
import {createSeededRandom} from 'jackdawcove-shared';

import {
  CallerSide,
  CallsInProgress,
  DEFAULT_CALLER_SWITCHES,
  DEFAULT_SERVER_SWITCHES,
  ServerSide,
} from '../index.js';

/** Daemon of a test fleet. */
export type TestDaemon = {
  readonly callerSide: CallerSide;
  readonly name: string;
  readonly quarantine: CrashQuarantine;
  readonly serverSide: ServerSide;
};

/** Settings of a test fleet. */
export type TestFleetOptions = {
  readonly admission?: AdmissionSwitches;
  readonly caller?: CallerSwitches;
  readonly daemons: readonly string[];
  readonly policy?: Partial<CallPolicy>;
  readonly seed?: number;
  readonly server?: ServerSwitches;
  readonly slots?: number;
};

/** Default policy of the requests of a test. */
export const TEST_POLICY: CallPolicy = {
  importance: 'normal',
  isIdempotent: true,
  maximumDepth: 16,
  retryAllowance: 2,
  revision: 7,
  route: 'route',
  timeoutMilliseconds: 1_000,
};

/** Default request of a test. */
export const TEST_REQUEST: CallRequest = {
  isFromLoopback: false,
  isReplayable: true,
  method: 'GET',
  path: '/prices',
  service: 'shelf',
};

const INCARNATION = 1;

/** Daemons with one instance each of the service shelf. */
export class TestFleet {
  readonly candidates: InstanceCandidate[];
  readonly daemons = new Map<string, TestDaemon>();
  now: Milliseconds = 0;
  readonly #options: TestFleetOptions;

  constructor(options: TestFleetOptions) {
    this.#options = options;
    this.candidates = options.daemons.map((daemon) => ({
      availabilityZone: 'erie-dock',
      daemon,
      daemonIncarnation: INCARNATION,
      instance: `instance-${daemon}`,
      instanceIncarnation: INCARNATION,
      isDraining: false,
      isReachable: true,
      region: 'lakes',
      slots: options.slots ?? 4,
    }));
    for (const name of options.daemons) {
      this.daemons.set(name, this.#createDaemon(name, INCARNATION));
      this.announce(name);
    }
  }

  /** Returns a daemon by its name. */
  get(name: string): TestDaemon {
    return this.daemons.get(name) as TestDaemon;
  }

  /** Announces the instance of a daemon under an incarnation. */
  announce(name: string, incarnation = INCARNATION): void {
    const slots = this.#options.slots ?? 4;
    const instance = {
      connections: slots,
      incarnation,
      instance: `instance-${name}`,
      service: TEST_REQUEST.service,
      slots,
    };
    this.get(name).serverSide.handle({instance, kind: 'announced'}, this.now);
  }

  /** Announces the instance of a daemon with the next incarnation. */
  announceRestartedInstance(name: string): void {
    const index = this.candidates.findIndex(({daemon}) => daemon === name);
    const candidate = this.candidates[index] as InstanceCandidate;
    const instanceIncarnation = candidate.instanceIncarnation + 1;
    this.candidates[index] = {...candidate, instanceIncarnation};
    this.announce(name, instanceIncarnation);
  }

  /** Restarts a daemon without any state and announces its instance. */
  restart(name: string): void {
    const index = this.candidates.findIndex(({daemon}) => daemon === name);
    const candidate = this.candidates[index] as InstanceCandidate;
    const daemonIncarnation = candidate.daemonIncarnation + 1;
    this.candidates[index] = {...candidate, daemonIncarnation};
    this.daemons.set(name, this.#createDaemon(name, daemonIncarnation));
    this.announce(name, candidate.instanceIncarnation);
  }

  /** Starts a call at a daemon. */
  begin(
    name: string,
    callIdentifier: string,
    request: Partial<CallRequest> = {},
  ): readonly CallerSideEffect[] {
    return this.get(name).callerSide.handle(
      {
        callIdentifier,
        kind: 'begin',
        request: {...TEST_REQUEST, ...request},
      },
      this.now,
    );
  }

  /** Delivers a sent attempt and returns the effects of the server side. */
  deliver(
    from: string,
    effect: CallerSideEffect | undefined,
  ): readonly ServerSideEffect[] {
    if (effect?.kind !== 'sendAttempt') {
      throw new Error(`expected sendAttempt, got ${String(effect?.kind)}`);
    }
    return this.get(effect.daemon).serverSide.handle(
      {attempt: effect.attempt, callerDaemon: from, kind: 'arrive'},
      this.now,
    );
  }

  /** Delivers a refusal or the end of an answer to the caller's daemon. */
  reply(effect: ServerSideEffect | undefined): readonly CallerSideEffect[] {
    if (effect?.kind === 'refuse') {
      const {callerDaemon, refusal} = effect;
      const input = {kind: 'attemptRefused', refusal} as const;
      return this.get(callerDaemon).callerSide.handle(input, this.now);
    }
    if (effect?.kind === 'endAnswer') {
      const {callerDaemon, end} = effect;
      const input = {end, kind: 'answerEnd'} as const;
      return this.get(callerDaemon).callerSide.handle(input, this.now);
    }
    throw new Error(
      `expected refuse or endAnswer, got ${String(effect?.kind)}`,
    );
  }

  #createDaemon(name: string, daemonIncarnation: number): TestDaemon {
    const callsInProgress = new CallsInProgress();
    const quarantine = new CrashQuarantine();
    const listInstances = (service: string) =>
      service === TEST_REQUEST.service ? this.candidates : undefined;
    const policy = {...TEST_POLICY, ...this.#options.policy};
    return {
      callerSide: new CallerSide({
        callsInProgress,
        chooser: new InstanceChooser({
          availabilityZone: 'erie-dock',
          daemon: name,
          randomNumber: createSeededRandom(this.#options.seed ?? 1),
          region: 'lakes',
        }),
        listInstances,
        quarantine,
        resolvePolicy: (request) => request.policy ?? policy,
        switches: this.#options.caller ?? DEFAULT_CALLER_SWITCHES,
      }),
      name,
      quarantine,
      serverSide: new ServerSide({
        admission: new AdmissionController({
          switches: this.#options.admission ?? DEFAULT_ADMISSION_SWITCHES,
        }),
        callsInProgress,
        daemonIncarnation,
        listInstances,
        quarantine,
        startedAt: this.now,
        switches: this.#options.server ?? DEFAULT_SERVER_SWITCHES,
      }),
    };
  }
}
