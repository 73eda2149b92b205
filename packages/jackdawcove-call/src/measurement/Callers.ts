/** Callers that send in an open loop and resend at once. */

import type {FakeChain} from './FakeChain.js';
import type {Importance, Milliseconds, RandomNumber} from 'jackdawcove-shared';

/** Share of the requests of each importance. */
export type ImportanceMix = Readonly<Record<Importance, number>>;

/** Counts of whole requests. */
export type CallerCounts = {
  /** Requests that began, by importance. */
  readonly begun: Record<Importance, number>;
  /** Requests that succeeded, by importance. */
  readonly succeeded: Record<Importance, number>;
};

/** Settings of the callers. */
export type CallersOptions = {
  readonly chain: FakeChain;
  readonly mix: ImportanceMix;
  readonly randomNumber: RandomNumber;
  readonly resends: number;
};

const CALLER_LATENCY_MILLISECONDS = 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** Sends requests at a rate that can be changed. */
export class Callers {
  #counts = createCounts();
  readonly #options: CallersOptions;
  #ratePerSecond = 0;
  #successTimes: Milliseconds[] = [];

  constructor(options: CallersOptions) {
    this.#options = options;
    this.#scheduleNext();
  }

  /** Changes the rate of whole requests. */
  setRate(ratePerSecond: number): void {
    this.#ratePerSecond = ratePerSecond;
  }

  /** Starts counting anew; requests are counted when they begin. */
  resetCounts(): void {
    this.#counts = createCounts();
    this.#successTimes = [];
  }

  /** Counts since the last reset. */
  getCounts(): CallerCounts {
    return this.#counts;
  }

  /** When whole requests succeeded since the last reset. */
  getSuccessTimes(): readonly Milliseconds[] {
    return this.#successTimes;
  }

  #scheduleNext(): void {
    const {chain, randomNumber} = this.#options;
    const rate = Math.max(this.#ratePerSecond, Number.EPSILON);
    const mean = MILLISECONDS_PER_SECOND / rate;
    const isIdle = this.#ratePerSecond === 0;
    const delay = isIdle ? 1 : -Math.log(1 - randomNumber()) * mean;
    chain.loop.schedule(delay, () => {
      if (!isIdle) {
        this.#send();
      }
      this.#scheduleNext();
    });
  }

  #send(): void {
    const importance = this.#pickImportance();
    const counts = this.#counts;
    counts.begun[importance] += 1;
    this.#try(importance, this.#options.resends, () => {
      counts.succeeded[importance] += 1;
      this.#successTimes.push(this.#options.chain.loop.getNow());
    });
  }

  #try(importance: Importance, resends: number, onSuccess: () => void): void {
    const {chain} = this.#options;
    chain.loop.schedule(CALLER_LATENCY_MILLISECONDS, () => {
      chain.send(importance, (isSuccess) => {
        chain.loop.schedule(CALLER_LATENCY_MILLISECONDS, () => {
          if (isSuccess) {
            onSuccess();
          } else if (resends > 0) {
            this.#try(importance, resends - 1, onSuccess);
          }
        });
      });
    });
  }

  #pickImportance(): Importance {
    let rest = this.#options.randomNumber();
    for (const [importance, share] of Object.entries(this.#options.mix)) {
      rest -= share;
      if (rest < 0) {
        return importance as Importance;
      }
    }
    return 'normal';
  }
}

function createCounts(): CallerCounts {
  return {
    begun: {background: 0, high: 0, normal: 0, urgent: 0},
    succeeded: {background: 0, high: 0, normal: 0, urgent: 0},
  };
}
