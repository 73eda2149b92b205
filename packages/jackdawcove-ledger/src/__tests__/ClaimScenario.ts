/**
 * Simulated callers that resend through any daemon, and backend servers that
 * log their runs.
 */

import type {ClaimOutcome} from '../index.js';
import type {LedgerFleetOptions} from './LedgerFleet.js';
import type {InjectedLedgerBugs, LedgerNode} from './LedgerNode.js';
import type {ClaimRun, ClaimSend, ClaimViolation} from 'jackdawcove-checker';
import type {Executed} from 'jackdawcove-shared';

import {ClaimHistoryChecker} from 'jackdawcove-checker';
import {createSeededRandom, pickRandom, RESULT_CODES} from 'jackdawcove-shared';

import {mintIdempotencyKey} from '../index.js';
import {LedgerFleet} from './LedgerFleet.js';

/** Result of one scenario. */
export type ScenarioResult = {
  /** Number of claims by outcome: `granted`, `answered` or a result name. */
  readonly outcomes: ReadonlyMap<string, number>;
  readonly runCount: number;
  readonly sendCount: number;
  readonly version: number;
  readonly violations: readonly ClaimViolation[];
};

const WARM_UP_MS = 4_000;
const KEY_COUNT = 14;
const FAULT_COUNT = 7;
const STORM_KEY_COUNT = 24;
const STORM_FAULT_COUNT = 10;
const MAXIMUM_STORM_DOWNTIME_MS = 100;
const SEEDS_PER_STORM = 6;
const DURATION_MS = 24_000;
const LAST_START_MS = 18_000;
const MAXIMUM_SENDS = 5;
const RETENTION_MS = 900_000;
const CALLER_TIMEOUT_MS = 4_000;
const FAULTS = [
  'crash',
  'crashGroup',
  'crashPair',
  'isolateZone',
  'clockJump',
  'leave',
  'pause',
] as const;

function createFleetOptions(
  seed: number,
  injectedBugs: InjectedLedgerBugs,
  random: () => number,
): LedgerFleetOptions {
  return {
    daemonsPerZone: 1 + Math.floor(random() * 5),
    injectedBugs,
    longDelayMs: 8_000,
    longDelayProbability: random() < 0.5 ? 0.08 : 0,
    lossProbability: random() < 0.5 ? 0.1 : 0,
    planIntervalMs: 400,
    presenceIntervalMs: 800,
    seed,
    slicesPerZone: 2,
    zoneCount: 1 + Math.floor(random() * 3),
  };
}

/**
 * One zone whose members restart continually while messages are delayed for
 * long.
 */
function createStormOptions(
  seed: number,
  injectedBugs: InjectedLedgerBugs,
): LedgerFleetOptions {
  return {
    daemonsPerZone: 5,
    injectedBugs,
    longDelayMs: 1_500,
    longDelayProbability: 0.5,
    lossProbability: 0,
    planIntervalMs: 60,
    presenceIntervalMs: 60,
    seed,
    slicesPerZone: 2,
    zoneCount: 1,
  };
}

/** One seeded simulation of callers, faults and backend servers. */
export class ClaimScenario {
  readonly #fleet: LedgerFleet;
  readonly #isStorm: boolean;
  readonly #outcomes = new Map<string, number>();
  readonly #random: () => number;
  readonly #runs: ClaimRun[] = [];
  readonly #sends: ClaimSend[] = [];

  constructor(seed: number, injectedBugs: InjectedLedgerBugs = {}) {
    const random = createSeededRandom(seed);
    this.#isStorm = seed % SEEDS_PER_STORM === 0;
    const options = this.#isStorm
      ? createStormOptions(seed, injectedBugs)
      : createFleetOptions(seed, injectedBugs, random);
    this.#fleet = new LedgerFleet(options);
    this.#random = this.#fleet.randomNumber;
  }

  run(): ScenarioResult {
    this.#fleet.events.run(WARM_UP_MS);
    const keyCount = this.#isStorm ? STORM_KEY_COUNT : KEY_COUNT;
    const faultCount = this.#isStorm ? STORM_FAULT_COUNT : FAULT_COUNT;
    for (let i = 0; i < keyCount; i += 1) {
      this.#scheduleKey(i);
    }
    for (let i = 0; i < faultCount; i += 1) {
      this.#scheduleFault();
    }
    this.#fleet.events.run(DURATION_MS);
    const history = {runs: this.#runs, sends: this.#sends};
    return {
      outcomes: this.#outcomes,
      runCount: this.#runs.length,
      sendCount: this.#sends.length,
      version: this.#fleet.getVersion(),
      violations: new ClaimHistoryChecker(history).check(),
    };
  }

  #after(maximumMs: number, event: () => void): void {
    this.#fleet.events.after(this.#random() * maximumMs, event);
  }

  #scheduleKey(index: number): void {
    this.#after(LAST_START_MS, () => {
      const key = this.#createKey();
      const content = `content ${String(index)}`;
      this.#send(key, content, 1);
      if (this.#random() < 0.4 || this.#isStorm) {
        this.#after(this.#isStorm ? 400 : 40, () => {
          this.#send(key, content, 1);
        });
      }
      if (this.#random() < 0.1) {
        this.#after(200, () => {
          this.#send(key, 'other content', MAXIMUM_SENDS);
        });
      }
    });
  }

  #createKey(): string {
    const zone = pickRandom(this.#fleet.zones, this.#random) ?? '';
    const now = this.#fleet.nodes[0]?.getWallTime() ?? 0;
    const randomValue = this.#random();
    const mintedAt =
      randomValue < 0.05
        ? now + this.#random() * 8_000
        : randomValue < 0.12
          ? now - RETENTION_MS + this.#random() * 6_000 - 2_000
          : now;
    const key = mintIdempotencyKey(zone, mintedAt, this.#random);
    if (this.#random() < 0.03) {
      return `${key}0`;
    }
    return this.#random() < 0.3 ? key.slice(zone.length + 1) : key;
  }

  #scheduleFault(): void {
    this.#after(DURATION_MS, () => {
      const node = this.#fleet.pickNode();
      if (node === undefined) {
        return;
      }
      if (this.#isStorm) {
        this.#fleet.crash(node, this.#random() * MAXIMUM_STORM_DOWNTIME_MS);
      } else {
        this.#injectFault(node);
      }
    });
  }

  #injectFault(node: LedgerNode): void {
    const fault = pickRandom(FAULTS, this.#random);
    const downMs = 20 + this.#random() * 5_000;
    if (fault === 'crash') {
      this.#fleet.crash(node, downMs);
    } else if (fault === 'crashGroup' || fault === 'crashPair') {
      const count = fault === 'crashPair' ? 2 : 3;
      for (const member of this.#fleet.pickGroupMembers(count)) {
        this.#fleet.crash(member, 20 + this.#random() * 5_000);
      }
    } else if (fault === 'isolateZone') {
      this.#fleet.isolateZone(node.zone, downMs);
    } else if (fault === 'leave') {
      this.#fleet.leave(node);
    } else if (fault === 'pause') {
      this.#fleet.pause(node, this.#random() * 30_000);
    } else if (this.#random() < 0.3) {
      this.#fleet.events.jump(RETENTION_MS - 5_000 + this.#random() * 10_000);
    }
  }

  #send(key: string, content: string, sendNumber: number): void {
    const node = this.#fleet.pickNode();
    const index = this.#sends.length;
    this.#sends.push({content, key, number: index});
    let isEnded = false;
    const end = (executed?: Executed, answer?: string): void => {
      if (isEnded) {
        return;
      }
      isEnded = true;
      this.#end(index, sendNumber, executed, answer);
    };
    this.#fleet.events.after(CALLER_TIMEOUT_MS, () => {
      end();
    });
    if (node?.isRunning !== true) {
      return;
    }
    node.bind(() => {
      node.claim(key, content, (outcome) => {
        this.#settle(node, index, outcome, end);
      });
    })();
  }

  #settle(
    node: LedgerNode,
    index: number,
    outcome: ClaimOutcome,
    end: (executed?: Executed, answer?: string) => void,
  ): void {
    if (outcome.kind === 'granted') {
      this.#count('granted');
      const dispatch = node.bind(() => {
        this.#dispatch(node, index, end);
      });
      this.#after(60, dispatch);
    } else if (outcome.kind === 'answered') {
      this.#count('answered');
      end('yes', Buffer.from(outcome.answer.body).toString());
    } else {
      this.#count(outcome.failure.result);
      end(RESULT_CODES[outcome.failure.result].executed);
    }
  }

  #dispatch(
    node: LedgerNode,
    index: number,
    end: (executed?: Executed, answer?: string) => void,
  ): void {
    const send = this.#sends[index];
    if (send === undefined) {
      return;
    }
    const {content, key} = send;
    const randomValue = this.#random();
    if (randomValue < 0.15) {
      node.complete(key, 'notRun', '');
      end('no');
      return;
    }
    const answer = `answer ${String(this.#runs.length)}`;
    this.#runs.push({
      answer,
      content,
      key,
      sendNumber: index,
      startedAt: this.#fleet.events.now,
    });
    const complete = node.bind(() => {
      const isOutcomeKnown = randomValue < 0.85;
      node.complete(key, isOutcomeKnown ? 'answered' : 'unknown', answer);
      end(
        isOutcomeKnown ? 'yes' : 'unknown',
        isOutcomeKnown ? answer : undefined,
      );
    });
    this.#after(this.#random() * 3_000, complete);
  }

  #end(
    index: number,
    sendNumber: number,
    executed: Executed | undefined,
    answer: string | undefined,
  ): void {
    const send = this.#sends[index];
    const isAnswerLost = this.#random() < 0.3;
    if (send !== undefined && executed !== undefined && !isAnswerLost) {
      const at = this.#fleet.events.now;
      const reported = {
        at,
        executed,
        ...(answer === undefined ? {} : {answer}),
      };
      this.#sends[index] = {...send, reported};
    }
    const isDone = executed === 'yes' && !isAnswerLost && this.#random() < 0.7;
    if (send !== undefined && sendNumber < MAXIMUM_SENDS && !isDone) {
      this.#after(3_000, () => {
        this.#send(send.key, send.content, sendNumber + 1);
      });
    }
  }

  #count(outcome: string): void {
    this.#outcomes.set(outcome, (this.#outcomes.get(outcome) ?? 0) + 1);
  }
}
