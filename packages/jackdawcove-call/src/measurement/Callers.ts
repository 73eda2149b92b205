/** Callers that send in an open loop and resend failed requests immediately. */

import type {FakeChain} from './FakeChain.js';
import type {Importance, Milliseconds, RandomNumber} from 'jackdawcove-shared';

/** Share of the requests of each importance. */
export type ImportanceMix = Readonly<Record<Importance, number>>;

/** Request of a caller with all its resends. */
export type EndToEndRequest = {
  readonly startedAt: Milliseconds;
  finishedAt: Milliseconds | undefined;
  readonly importance: Importance;
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

/** Sends requests at an adjustable rate with exponential interarrival times. */
export class Callers {
  readonly #options: CallersOptions;
  #ratePerSecond = 0;
  #requests: EndToEndRequest[] = [];

  constructor(options: CallersOptions) {
    this.#options = options;
    this.#scheduleNext();
  }

  /** Sets the rate of requests, not counting resends. */
  setRate(ratePerSecond: number): void {
    this.#ratePerSecond = ratePerSecond;
  }

  /** Clears the recorded requests. */
  clearRequests(): void {
    this.#requests = [];
  }

  /** Returns the requests recorded since the last `clearRequests`. */
  getRequests(): readonly EndToEndRequest[] {
    return this.#requests;
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
    const {chain, resends} = this.#options;
    const request: EndToEndRequest = {
      finishedAt: undefined,
      importance,
      startedAt: chain.loop.getNow(),
    };
    this.#requests.push(request);
    this.#sendWithResends(importance, resends, () => {
      request.finishedAt = chain.loop.getNow();
    });
  }

  #sendWithResends(
    importance: Importance,
    resends: number,
    onSuccess: () => void,
  ): void {
    const {chain} = this.#options;
    chain.loop.schedule(CALLER_LATENCY_MILLISECONDS, () => {
      chain.send(importance, (isSuccess) => {
        chain.loop.schedule(CALLER_LATENCY_MILLISECONDS, () => {
          if (isSuccess) {
            onSuccess();
          } else if (resends > 0) {
            this.#sendWithResends(importance, resends - 1, onSuccess);
          }
        });
      });
    });
  }

  #pickImportance(): Importance {
    let remaining = this.#options.randomNumber();
    for (const [importance, share] of Object.entries(this.#options.mix)) {
      remaining -= share;
      if (remaining < 0) {
        return importance as Importance;
      }
    }
    return 'normal';
  }
}
