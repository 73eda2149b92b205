/** Calls of a test fleet with random deliveries and faults. */

import type {
  CallerSideEffect,
  CallerSideInput,
  ServerSideEffect,
  ServerSideInput,
} from '../index.js';
import type {TestFleetOptions} from './TestFleet.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {TestFleet} from './TestFleet.js';

/** Settings of a random run. */
export type RandomFleetOptions = TestFleetOptions & {
  readonly depth: number;
  readonly fanOut: number;
  /** Probability of a fault per step. */
  readonly faultProbability: number;
  readonly maximumCalls: number;
  readonly seed: number;
};

/** Counters and records of a run. */
export type Observations = {
  attempts: number;
  calls: number;
  /** Number of dispatches to a backend server, by call. */
  readonly dispatches: Map<string, number>;
  /** Calls that were reported as not run. */
  readonly notRun: string[];
};

type Message = {readonly deliver: () => void; readonly to: string};

const SURVIVAL_PROBABILITY = 0.5;
const MAXIMUM_STEPS = 4_000;
const MAXIMUM_STEP_MILLISECONDS = 4;
const RESTART_PROBABILITY = 0.2;
const TICK_PROBABILITY = 0.1;

/** Runs one root request with all its nested calls under random faults. */
export class RandomFleet {
  readonly #fleet: TestFleet;
  #messages: Message[] = [];
  readonly #observations: Observations = {
    attempts: 0,
    calls: 0,
    dispatches: new Map(),
    notRun: [],
  };
  readonly #onFinish = new Map<string, () => void>();
  readonly #options: RandomFleetOptions;
  readonly #randomNumber: RandomNumber;

  constructor(options: RandomFleetOptions) {
    this.#fleet = new TestFleet(options);
    this.#options = options;
    this.#randomNumber = createSeededRandom(options.seed);
  }

  /** Runs a fixed number of random steps after the root request starts. */
  run(): Observations {
    this.#begin(this.#pickDaemon(), undefined, () => undefined);
    for (let step = 0; step < MAXIMUM_STEPS; step += 1) {
      this.#fleet.now += this.#randomNumber() * MAXIMUM_STEP_MILLISECONDS;
      this.#step();
    }
    return this.#observations;
  }

  #step(): void {
    const chance = this.#randomNumber();
    if (chance < this.#options.faultProbability) {
      this.#injectFault();
    } else if (chance < this.#options.faultProbability + TICK_PROBABILITY) {
      this.#tick();
    } else {
      const index = Math.floor(this.#randomNumber() * this.#messages.length);
      this.#messages.splice(index, 1)[0]?.deliver();
    }
  }

  /** Closes the sessions to a daemon and drops some messages in flight. */
  #injectFault(): void {
    const name = this.#pickDaemon();
    if (this.#randomNumber() < RESTART_PROBABILITY) {
      this.#messages = this.#messages.filter(({to}) => to !== name);
      this.#fleet.restart(name);
    }
    this.#messages = this.#messages.filter(
      ({to}) => to !== name || this.#randomNumber() < SURVIVAL_PROBABILITY,
    );
    for (const other of this.#fleet.daemons.keys()) {
      this.#handleCallerInput(other, {daemon: name, kind: 'sessionLost'});
    }
  }

  #tick(): void {
    for (const name of this.#fleet.daemons.keys()) {
      this.#handleServerInput(name, {kind: 'tick'});
      this.#handleCallerInput(name, {kind: 'tick'});
    }
  }

  #begin(
    name: string,
    contextHeader: string | undefined,
    onFinish: () => void,
  ): void {
    const observations = this.#observations;
    observations.calls += 1;
    const callIdentifier = `call-${String(observations.calls)}`;
    this.#onFinish.set(callIdentifier, onFinish);
    const effects = this.#fleet.begin(name, callIdentifier, {
      contextHeader,
      idempotencyKey: callIdentifier,
      isFromLoopback: contextHeader !== undefined,
    });
    this.#applyCallerEffects(name, effects);
  }

  #handleCallerInput(name: string, input: CallerSideInput): void {
    const {callerSide} = this.#fleet.get(name);
    this.#applyCallerEffects(name, callerSide.handle(input, this.#fleet.now));
  }

  #handleServerInput(name: string, input: ServerSideInput): void {
    const {serverSide} = this.#fleet.get(name);
    this.#applyServerEffects(name, serverSide.handle(input, this.#fleet.now));
  }

  #enqueue(to: string, deliver: () => void): void {
    this.#messages.push({deliver, to});
  }

  #applyCallerEffects(
    name: string,
    effects: readonly CallerSideEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.kind === 'sendAttempt') {
        this.#observations.attempts += 1;
        const {attempt} = effect;
        this.#sendToServer(effect.daemon, {
          attempt,
          callerDaemon: name,
          kind: 'arrive',
        });
      } else if (effect.kind === 'resolveAttempt') {
        const {query} = effect;
        this.#sendToServer(effect.daemon, {
          callerDaemon: name,
          kind: 'resolve',
          query,
        });
      } else if (effect.kind === 'cancelAttempt') {
        const {attemptIdentifier} = effect;
        this.#sendToServer(effect.daemon, {
          attemptIdentifier,
          kind: 'attemptCancelled',
        });
      } else if (effect.kind === 'claim') {
        const {callIdentifier} = effect;
        this.#sendToCaller(name, {callIdentifier, kind: 'claimGranted'});
      } else if (effect.kind === 'finish') {
        this.#finish(effect);
      }
    }
  }

  #finish(effect: Extract<CallerSideEffect, {kind: 'finish'}>): void {
    if (effect.executed === 'no') {
      this.#observations.notRun.push(effect.callIdentifier);
    }
    this.#onFinish.get(effect.callIdentifier)?.();
  }

  #sendToServer(to: string, input: ServerSideInput): void {
    this.#enqueue(to, () => {
      this.#handleServerInput(to, input);
    });
  }

  #sendToCaller(to: string, input: CallerSideInput): void {
    this.#enqueue(to, () => {
      this.#handleCallerInput(to, input);
    });
  }

  #applyServerEffects(
    name: string,
    effects: readonly ServerSideEffect[],
  ): void {
    for (const effect of effects) {
      if (effect.kind === 'dispatch') {
        this.#runOnBackend(name, effect);
      } else if (effect.kind === 'refuse') {
        const {callerDaemon, refusal} = effect;
        this.#sendToCaller(callerDaemon, {kind: 'attemptRefused', refusal});
      } else if (effect.kind === 'endAnswer') {
        const {callerDaemon, end} = effect;
        this.#sendToCaller(callerDaemon, {end, kind: 'answerEnd'});
      } else if (effect.kind === 'answerResolution') {
        const {answer, callerDaemon} = effect;
        this.#sendToCaller(callerDaemon, {answer, kind: 'resolved'});
      }
    }
  }

  /** Starts all nested calls of a request, which ends after the last one. */
  #runOnBackend(
    name: string,
    effect: Extract<ServerSideEffect, {kind: 'dispatch'}>,
  ): void {
    const {attempt, contextHeader} = effect;
    const {dispatches} = this.#observations;
    const {attemptIdentifier, callIdentifier} = attempt;
    dispatches.set(callIdentifier, (dispatches.get(callIdentifier) ?? 0) + 1);
    const end = (): void => {
      this.#enqueue(name, () => {
        const isAnswerComplete = this.#randomNumber() < SURVIVAL_PROBABILITY;
        this.#handleServerInput(
          name,
          isAnswerComplete
            ? {attemptIdentifier, kind: 'backendAnswered'}
            : {attemptIdentifier, isDispatched: true, kind: 'backendFailed'},
        );
      });
    };
    this.#beginChildren(name, attempt.context.depth, contextHeader, end);
  }

  #beginChildren(
    name: string,
    depth: number,
    contextHeader: string,
    end: () => void,
  ): void {
    const {fanOut, maximumCalls} = this.#options;
    const isLeaf =
      depth + 1 >= this.#options.depth ||
      this.#observations.calls + fanOut > maximumCalls;
    if (isLeaf) {
      end();
      return;
    }
    let open = fanOut;
    for (let child = 0; child < fanOut; child += 1) {
      this.#begin(name, contextHeader, () => {
        open -= 1;
        if (open === 0) {
          end();
        }
      });
    }
  }

  #pickDaemon(): string {
    const names = [...this.#fleet.daemons.keys()];
    const index = Math.floor(this.#randomNumber() * names.length);
    return names[index] as string;
  }
}
