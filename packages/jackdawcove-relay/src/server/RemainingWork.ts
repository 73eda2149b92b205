/** Work that an instance still has to do. */

import type {Milliseconds} from 'jackdawcove-shared';

/** A request whose run time is expected by its caller's daemon. */
export type ExpectedRun = {
  /** Mean run time over all instances; undefined when the caller knows none. */
  readonly expectedRunMilliseconds?: Milliseconds | undefined;
};

/** Work of an instance, as its daemon reports it. */
export type WorkReport = {
  /** Slot time that the running and the queued requests are expected to need. */
  readonly remainingMilliseconds: Milliseconds;
  /** Run time at this instance, as a multiple of what callers expect. */
  readonly slowness: number;
};

type TrackedRun = {
  /** Slot time that the run is expected to need in total. */
  expected: Milliseconds;
  readonly startedAt: Milliseconds;
};

/** Weight of the newest run in the moving average of the slowness. */
const SLOWNESS_WEIGHT = 0.05;

/** Weight of the newest run in the moving average of the run time. */
const RUN_TIME_WEIGHT = 0.05;

/** Bounds of the slowness that one run contributes. */
const MINIMUM_SLOWNESS = 0.1;
const MAXIMUM_SLOWNESS = 20;

/**
 * Part of its age by which a run that exceeded its expected time is expected to go on:
 * among requests of very unequal cost, the longer one has run, the more is left.
 */
const OVERDUE_EXTENSION_SHARE = 0.5;

/**
 * Tracks what runs and waits at an instance. It handles requests that look alike but
 * cost very different amounts: a few long runs are as much work as many short ones.
 * The sums are kept up to date, because every answer carries them.
 */
export class RemainingWork<Request extends ExpectedRun> {
  #meanRunTime: Milliseconds = 0;
  readonly #queued = new Map<Request, Milliseconds>();
  #queuedMilliseconds: Milliseconds = 0;
  readonly #runs = new Map<Request, TrackedRun>();
  #slowness = 1;
  /** Sum over the runs of the times at which they are expected to end. */
  #sumOfEnds = 0;

  /** Adds a request that waits for a slot. */
  addQueued(request: Request): void {
    const expected = this.#getExpected(request);
    this.#queued.set(request, expected);
    this.#queuedMilliseconds += expected;
  }

  /** Removes a request that waited for a slot. */
  removeQueued(request: Request): void {
    this.#queuedMilliseconds -= this.#queued.get(request) ?? 0;
    this.#queued.delete(request);
  }

  /** Adds a request that begins to run. */
  start(request: Request, now: Milliseconds): void {
    const expected = this.#getExpected(request) * this.#slowness;
    this.#runs.set(request, {expected, startedAt: now});
    this.#sumOfEnds += now + expected;
  }

  /** Removes a request; `runTime` is absent when it did not run to its end. */
  end(request: Request, runTime: Milliseconds | undefined): void {
    const run = this.#runs.get(request);
    if (run === undefined) {
      return;
    }
    this.#runs.delete(request);
    this.#sumOfEnds -= run.startedAt + run.expected;
    if (runTime !== undefined) {
      this.#recordRunTime(request, runTime);
    }
  }

  /** Extends the runs that have exceeded their expected time. */
  tick(now: Milliseconds): void {
    for (const run of this.#runs.values()) {
      const age = now - run.startedAt;
      if (age > run.expected) {
        const expected = age * (1 + OVERDUE_EXTENSION_SHARE);
        this.#sumOfEnds += expected - run.expected;
        run.expected = expected;
      }
    }
  }

  /**
   * Returns the work that is left.
   *
   * @example
   * work.getReport(now); // {remainingMilliseconds: 380, slowness: 1.4}
   */
  getReport(now: Milliseconds): WorkReport {
    const running = Math.max(0, this.#sumOfEnds - this.#runs.size * now);
    const queued = this.#queuedMilliseconds * this.#slowness;
    return {
      remainingMilliseconds: running + queued,
      slowness: this.#slowness,
    };
  }

  #getExpected({expectedRunMilliseconds}: Request): Milliseconds {
    return expectedRunMilliseconds ?? this.#meanRunTime / this.#slowness;
  }

  #recordRunTime(
    {expectedRunMilliseconds}: Request,
    runTime: Milliseconds,
  ): void {
    this.#meanRunTime +=
      (this.#meanRunTime === 0 ? 1 : RUN_TIME_WEIGHT) *
      (runTime - this.#meanRunTime);
    if (expectedRunMilliseconds === undefined || expectedRunMilliseconds <= 0) {
      return;
    }
    const slowness = Math.min(
      MAXIMUM_SLOWNESS,
      Math.max(MINIMUM_SLOWNESS, runTime / expectedRunMilliseconds),
    );
    this.#slowness += SLOWNESS_WEIGHT * (slowness - this.#slowness);
  }
}
