/**
 * Adaptive limit by trials: another limit is kept only when it measures better.
 *
 * A lower limit is kept when the throughput does not fall and the latency does:
 * requests held each other up. A higher one is kept when the throughput rises.
 * A backend server that is slow for reasons of its own keeps its slots, which
 * strategies that follow the latency alone take from it.
 */

import type {LimitSample, LimitStrategy} from './ConcurrencyLimit.js';
import type {Milliseconds} from 'jackdawcove-shared';

type Direction = 'down' | 'up';

type Measurement = {
  readonly isSaturated: boolean;
  readonly latency: Milliseconds;
  readonly throughput: number;
};

type Trial = {
  readonly before: Measurement;
  readonly direction: Direction;
  readonly limit: number;
};

type Epoch = {
  completions: number;
  latencySum: number;
  saturated: number;
  readonly startedAt: Milliseconds;
};

const HOLD_MILLISECONDS = 8_000;
const LATENCY_SHARE_AFTER_STEP_DOWN = 0.9;
const MINIMUM_EPOCH_MILLISECONDS = 500;
const MINIMUM_EPOCH_SAMPLES = 200;
const SATURATION = 0.9;
const SETTLING_LATENCIES = 2;
const STEPS = {down: 0.8, up: 1.25};
const THROUGHPUT_SHARES = {down: 0.97, up: 1.08};

/**
 * Creates the strategy that tries other limits and keeps what measures better.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createTrialLimit});
 */
export function createTrialLimit(): LimitStrategy {
  return new TrialLimit();
}

class TrialLimit implements LimitStrategy {
  #direction: Direction = 'down';
  #epoch: Epoch | undefined;
  #nextTrialAt = 0;
  #settledAt = 0;
  #trial: Trial | undefined;

  update(limit: number, sample: LimitSample, now: Milliseconds): number {
    // What was admitted under the limit before says nothing of this one.
    if (now < this.#settledAt) {
      return limit;
    }
    this.#epoch ??= createEpoch(now);
    const epoch = this.#epoch;
    epoch.completions += sample.isSuccess ? 1 : 0;
    epoch.latencySum += sample.isSuccess ? sample.ownMilliseconds : 0;
    epoch.saturated += sample.inFlight >= limit * SATURATION ? 1 : 0;
    if (!isOver(epoch, now)) {
      return limit;
    }
    this.#epoch = undefined;
    const measured = measure(epoch, now);
    return this.#trial === undefined
      ? this.#startWhenDue(limit, sample.maximum, measured, now)
      : this.#judge(this.#trial, limit, measured, now);
  }

  #startWhenDue(
    limit: number,
    maximum: number,
    before: Measurement,
    now: Milliseconds,
  ): number {
    if (!before.isSaturated || now < this.#nextTrialAt) {
      return limit;
    }
    if (limit >= maximum) {
      this.#direction = 'down';
    }
    return this.#start(limit, before, now);
  }

  #start(limit: number, before: Measurement, now: Milliseconds): number {
    const direction = this.#direction;
    this.#trial = {before, direction, limit};
    this.#settledAt = now + before.latency * SETTLING_LATENCIES;
    return limit * STEPS[direction];
  }

  /** Goes on in the same direction after a success, else goes back and waits. */
  #judge(
    trial: Trial,
    limit: number,
    measured: Measurement,
    now: Milliseconds,
  ): number {
    this.#trial = undefined;
    if (isBetter(trial, measured)) {
      return this.#start(limit, measured, now);
    }
    this.#direction = trial.direction === 'down' ? 'up' : 'down';
    this.#settledAt = now + measured.latency * SETTLING_LATENCIES;
    this.#nextTrialAt = now + HOLD_MILLISECONDS;
    return trial.limit;
  }
}

function isBetter(trial: Trial, measured: Measurement): boolean {
  const {before, direction} = trial;
  const isThroughputKept =
    measured.throughput >= before.throughput * THROUGHPUT_SHARES[direction];
  const isFaster =
    measured.latency <= before.latency * LATENCY_SHARE_AFTER_STEP_DOWN;
  return isThroughputKept && (direction === 'up' || isFaster);
}

function isOver(epoch: Epoch, now: Milliseconds): boolean {
  return (
    epoch.completions >= MINIMUM_EPOCH_SAMPLES &&
    now - epoch.startedAt >= MINIMUM_EPOCH_MILLISECONDS
  );
}

function measure(epoch: Epoch, now: Milliseconds): Measurement {
  return {
    isSaturated: epoch.saturated > epoch.completions / 2,
    latency: epoch.latencySum / epoch.completions,
    throughput: epoch.completions / (now - epoch.startedAt),
  };
}

function createEpoch(startedAt: Milliseconds): Epoch {
  return {completions: 0, latencySum: 0, saturated: 0, startedAt};
}
