/** In-memory chain of services: daemons with fake backend servers. */

import type {
  Attempt,
  CallerSide,
  CallerSideEffect,
  CallIdentifier,
  CallPolicy,
  CallRequest,
  ServerSide,
  ServerSideEffect,
} from '../index.js';
import type {FakeRequest} from './FakeBackend.js';
import type {FakeDaemon} from './FakeDaemon.js';
import type {Mode} from './Modes.js';
import type {InstanceCandidate} from 'jackdawcove-routing';
import type {Importance, Milliseconds, RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {TICK_INTERVAL_MILLISECONDS} from '../index.js';
import {EventLoop} from './EventLoop.js';
import {createCandidate, createFakeDaemon, getService} from './FakeDaemon.js';

/** Settings of a chain. */
export type FakeChainOptions = {
  /** Requests per second that every service can run. */
  readonly capacityPerSecond: number;
  readonly depth: number;
  readonly instancesPerService: number;
  readonly mode: Mode;
  /** Ratio of announced slots to actual parallelism; defaults to 1. */
  readonly overstatement?: number;
  readonly ownMilliseconds: Milliseconds;
  readonly seed: number;
  /** Capacity of the other services as a multiple of that of the last. */
  readonly spareFactor: number;
  readonly timeoutMilliseconds: Milliseconds;
};

/** Called with true if the end-to-end request succeeded. */
export type OnFinished = (isSuccess: boolean) => void;

type RunningRequest = {
  isAborted: boolean;
  readonly request: FakeRequest;
};

const NETWORK_MILLISECONDS = 1;
const HALF = 0.5;

/** Chain of services, each of which calls the next one while it runs. */
export class FakeChain {
  #calls = 0;
  readonly #candidates = new Map<string, InstanceCandidate[]>();
  readonly #daemons = new Map<string, FakeDaemon>();
  readonly #failedAttempts = new Set<string>();
  readonly loop = new EventLoop();
  readonly #onFinished = new Map<CallIdentifier, OnFinished>();
  readonly #options: FakeChainOptions;
  readonly #randomNumber: RandomNumber;
  readonly #running = new Map<string, RunningRequest>();
  #workMilliseconds = 0;

  constructor(options: FakeChainOptions) {
    this.#options = options;
    this.#randomNumber = createSeededRandom(options.seed);
    for (let depth = 0; depth < options.depth; depth += 1) {
      this.#addService(depth);
    }
    this.#scheduleTicks();
  }

  /** Sends an external request to a random daemon. */
  send(importance: Importance, onFinished: OnFinished): void {
    const names = [...this.#daemons.keys()];
    const index = Math.floor(this.#randomNumber() * names.length);
    const name = names[index] as string;
    this.#begin(name, 0, importance, undefined, onFinished);
  }

  /** Slows all instances of a service down by a factor. */
  setSlowness(depth: number, factor: number): void {
    for (const daemon of this.#daemons.values()) {
      if (daemon.depth === depth) {
        daemon.backend.setSlowness(factor);
      }
    }
  }

  /** Returns the total work of the backend servers so far. */
  getWorkMilliseconds(): Milliseconds {
    return this.#workMilliseconds;
  }

  /** Returns the status of the first instance of each service. */
  getStatuses(): readonly ReturnType<ServerSide['getStatus']>[] {
    return [...this.#daemons.entries()]
      .filter(([name]) => name.endsWith('-0'))
      .map(([, daemon]) => daemon.serverSide.getStatus());
  }

  #addService(depth: number): void {
    const {instancesPerService} = this.#options;
    const slots = this.#getSlots(depth);
    const announced = slots * (this.#options.overstatement ?? 1);
    const candidates: InstanceCandidate[] = [];
    this.#candidates.set(getService(depth), candidates);
    for (let index = 0; index < instancesPerService; index += 1) {
      const name = `${getService(depth)}-${String(index)}`;
      candidates.push(createCandidate(name, announced));
      const daemon = createFakeDaemon({
        depth,
        listInstances: (service) => this.#candidates.get(service),
        loop: this.loop,
        mode: this.#options.mode,
        name,
        parallelism: slots,
        resolvePolicy: (request) => this.#resolvePolicy(request, index),
        seed: this.#options.seed + this.#daemons.size + 1,
        slots: announced,
      });
      this.#daemons.set(name, daemon);
    }
  }

  /** Returns the slots for the capacity, by Little's law on an unloaded chain. */
  #getSlots(depth: number): number {
    const {capacityPerSecond, instancesPerService, ownMilliseconds} =
      this.#options;
    const downstreamCount = this.#options.depth - depth - 1;
    const isLast = downstreamCount === 0;
    const hop = ownMilliseconds + 2 * NETWORK_MILLISECONDS;
    const slotMilliseconds = ownMilliseconds + downstreamCount * hop;
    const factor = isLast ? 1 : this.#options.spareFactor;
    const perInstance = (capacityPerSecond * factor) / instancesPerService;
    return Math.max(1, Math.round((perInstance * slotMilliseconds) / 1_000));
  }

  /** With mixed revisions, every second daemon swaps two importances. */
  #resolvePolicy(request: CallRequest, index: number): CallPolicy {
    const importance = request.path.slice(1) as Importance;
    const {isImportanceInherited} = this.#options.mode.caller;
    const isSwapped = !isImportanceInherited && index % 2 === 1;
    return {
      importance: isSwapped ? swapImportance(importance) : importance,
      isIdempotent: true,
      maximumDepth: 64,
      retryAllowance: 2,
      revision: 1,
      route: '/',
      timeoutMilliseconds: this.#options.timeoutMilliseconds,
    };
  }

  #begin(
    name: string,
    depth: number,
    importance: Importance,
    contextHeader: string | undefined,
    onFinished: OnFinished,
  ): void {
    const daemon = this.#daemons.get(name) as FakeDaemon;
    const now = this.loop.getNow();
    if (
      this.#options.mode.isThrottlingCallers &&
      daemon.throttle.isRejected(now)
    ) {
      onFinished(false);
      return;
    }
    this.#calls += 1;
    const callIdentifier = `${name}.1.${String(this.#calls)}`;
    this.#onFinished.set(callIdentifier, (isSuccess) => {
      daemon.throttle.recordEnded(isSuccess);
      onFinished(isSuccess);
    });
    const effects = daemon.callerSide.handle(
      {
        callIdentifier,
        kind: 'begin',
        request: {
          contextHeader,
          isFromLoopback: contextHeader !== undefined,
          isReplayable: true,
          method: 'GET',
          path: `/${importance}`,
          service: getService(depth),
        },
      },
      now,
    );
    this.#applyCallerEffects(name, effects);
  }

  #applyCallerEffects(
    name: string,
    effects: readonly CallerSideEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.kind === 'sendAttempt') {
        const {attempt} = effect;
        this.#deliver(effect.daemon, {
          attempt,
          callerDaemon: name,
          kind: 'arrive',
        });
      } else if (effect.kind === 'cancelAttempt') {
        const {attemptIdentifier} = effect;
        this.#deliver(effect.daemon, {
          attemptIdentifier,
          kind: 'attemptCancelled',
        });
      } else if (effect.kind === 'finish') {
        this.#finish(effect.callIdentifier, effect.result === 'ok');
      }
    }
  }

  #finish(callIdentifier: CallIdentifier, isAnswered: boolean): void {
    const onFinished = this.#onFinished.get(callIdentifier);
    this.#onFinished.delete(callIdentifier);
    const isFailed = this.#failedAttempts.delete(callIdentifier);
    onFinished?.(isAnswered && !isFailed);
  }

  #deliver(name: string, input: Parameters<ServerSide['handle']>[0]): void {
    this.loop.schedule(NETWORK_MILLISECONDS, () => {
      const {serverSide} = this.#daemons.get(name) as FakeDaemon;
      this.#applyServerEffects(
        name,
        serverSide.handle(input, this.loop.getNow()),
      );
    });
  }

  #applyServerEffects(
    name: string,
    effects: readonly ServerSideEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.kind === 'dispatch') {
        this.#dispatch(name, effect.attempt, effect.contextHeader);
      } else if (effect.kind === 'refuse') {
        const {callerDaemon, refusal} = effect;
        this.#reply(callerDaemon, {kind: 'attemptRefused', refusal});
      } else if (effect.kind === 'endAnswer') {
        this.#reply(effect.callerDaemon, {end: effect.end, kind: 'answerEnd'});
      } else if (effect.kind === 'abort') {
        this.#abort(name, effect.attemptIdentifier);
      }
    }
  }

  #reply(name: string, input: Parameters<CallerSide['handle']>[0]): void {
    this.loop.schedule(NETWORK_MILLISECONDS, () => {
      const {callerSide} = this.#daemons.get(name) as FakeDaemon;
      this.#applyCallerEffects(
        name,
        callerSide.handle(input, this.loop.getNow()),
      );
    });
  }

  #dispatch(name: string, attempt: Attempt, contextHeader: string): void {
    const daemon = this.#daemons.get(name) as FakeDaemon;
    const request: FakeRequest = {
      start: () => {
        this.#work(daemon, () => {
          this.#callNextService(name, attempt, contextHeader);
        });
      },
    };
    const running = {isAborted: false, request};
    this.#running.set(attempt.attemptIdentifier, running);
    daemon.backend.submit(request);
  }

  #callNextService(
    name: string,
    attempt: Attempt,
    contextHeader: string,
  ): void {
    const {depth} = this.#daemons.get(name) as FakeDaemon;
    const {importance} = attempt.context;
    const isAborted = this.#isAborted(attempt);
    const next = depth + 1;
    if (isAborted || next === this.#options.depth) {
      this.#finishWork(name, attempt, !isAborted);
      return;
    }
    this.#begin(name, next, importance, contextHeader, (isSuccess) => {
      this.#finishWork(name, attempt, isSuccess);
    });
  }

  #finishWork(name: string, attempt: Attempt, isSuccess: boolean): void {
    if (!isSuccess) {
      this.#answer(name, attempt, false);
      return;
    }
    this.#work(this.#daemons.get(name) as FakeDaemon, () => {
      this.#answer(name, attempt, !this.#isAborted(attempt));
    });
  }

  #work(daemon: FakeDaemon, onDone: () => void): void {
    const milliseconds =
      -Math.log(1 - this.#randomNumber()) *
      this.#options.ownMilliseconds *
      HALF;
    this.#workMilliseconds += milliseconds;
    daemon.backend.work(milliseconds, onDone);
  }

  #answer(name: string, attempt: Attempt, isSuccess: boolean): void {
    const {attemptIdentifier, callIdentifier} = attempt;
    const isAborted = this.#isAborted(attempt);
    this.#running.delete(attemptIdentifier);
    const {backend} = this.#daemons.get(name) as FakeDaemon;
    backend.release();
    if (!isSuccess && !isAborted) {
      this.#failedAttempts.add(callIdentifier);
    }
    this.#handleServerInput(
      name,
      isAborted
        ? {attemptIdentifier, isDispatched: true, kind: 'backendFailed'}
        : {attemptIdentifier, kind: 'backendAnswered'},
    );
  }

  #abort(name: string, attemptIdentifier: string): void {
    const running = this.#running.get(attemptIdentifier);
    if (running === undefined || !this.#options.mode.isCancelling) {
      return;
    }
    running.isAborted = true;
    const {backend} = this.#daemons.get(name) as FakeDaemon;
    if (backend.remove(running.request)) {
      this.#running.delete(attemptIdentifier);
      this.#handleServerInput(name, {
        attemptIdentifier,
        isDispatched: true,
        kind: 'backendFailed',
      });
    }
  }

  #isAborted(attempt: Attempt): boolean {
    return this.#running.get(attempt.attemptIdentifier)?.isAborted ?? false;
  }

  #handleServerInput(
    name: string,
    input: Parameters<ServerSide['handle']>[0],
  ): void {
    const {serverSide} = this.#daemons.get(name) as FakeDaemon;
    this.#applyServerEffects(
      name,
      serverSide.handle(input, this.loop.getNow()),
    );
  }

  #scheduleTicks(): void {
    this.loop.schedule(TICK_INTERVAL_MILLISECONDS, () => {
      const now = this.loop.getNow();
      for (const [name, daemon] of this.#daemons) {
        const tick = {kind: 'tick'} as const;
        this.#applyServerEffects(name, daemon.serverSide.handle(tick, now));
        this.#applyCallerEffects(name, daemon.callerSide.handle(tick, now));
      }
      this.#scheduleTicks();
    });
  }
}

function swapImportance(importance: Importance): Importance {
  if (importance === 'high') {
    return 'background';
  }
  return importance === 'background' ? 'high' : importance;
}
