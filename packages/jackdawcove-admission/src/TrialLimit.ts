/**
 * Adaptive limit by hill climbing: a trial limit is kept only when it measures better.
 *
 * A lower limit is kept when latency falls and throughput does not: the requests were
 * contending with each other. A higher limit is kept when throughput rises. A backend
 * server that is slow for other reasons keeps its slots; strategies that follow latency
 * alone would reduce them.
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
  saturatedCompletions: number;
  readonly startedAt: Milliseconds;
};

const PAUSE_AFTER_FAILED_TRIAL_MILLISECONDS = 8_000;
const MAXIMUM_LATENCY_SHARE_AFTER_STEP_DOWN = 0.9;
const MINIMUM_EPOCH_MILLISECONDS = 500;
const MINIMUM_EPOCH_SAMPLES = 200;
const SATURATED_LIMIT_SHARE = 0.9;
const SETTLING_LATENCIES = 2;
const STEP_FACTORS = {down: 0.8, up: 1.25};
const MINIMUM_THROUGHPUT_SHARES = {down: 0.97, up: 1.08};

/**
 * Creates a strategy that tries other limits and keeps those that measure better.
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
    // Requests that were admitted under the previous limit would distort the measurement.
    if (now < this.#settledAt) {
      return limit;
    }
    this.#epoch ??= createEpoch(now);
    const epoch = this.#epoch;
    epoch.completions += sample.isSuccess ? 1 : 0;
    epoch.latencySum += sample.isSuccess ? sample.ownMilliseconds : 0;
    epoch.saturatedCompletions +=
      sample.inFlight >= limit * SATURATED_LIMIT_SHARE ? 1 : 0;
    if (!isEpochComplete(epoch, now)) {
      return limit;
    }
    this.#epoch = undefined;
    const measurement = measure(epoch, now);
    return this.#trial === undefined
      ? this.#startTrialWhenDue(limit, sample.maximum, measurement, now)
      : this.#finishTrial(this.#trial, limit, measurement, now);
  }

  #startTrialWhenDue(
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
    return this.#startTrial(limit, before, now);
  }

  #startTrial(limit: number, before: Measurement, now: Milliseconds): number {
    const direction = this.#direction;
    this.#trial = {before, direction, limit};
    this.#settledAt = now + before.latency * SETTLING_LATENCIES;
    return limit * STEP_FACTORS[direction];
  }

  /** Continues in the same direction after a success; otherwise reverts and pauses. */
  #finishTrial(
    trial: Trial,
    limit: number,
    measurement: Measurement,
    now: Milliseconds,
  ): number {
    this.#trial = undefined;
    if (isBetter(trial, measurement)) {
      return this.#startTrial(limit, measurement, now);
    }
    this.#direction = trial.direction === 'down' ? 'up' : 'down';
    this.#settledAt = now + measurement.latency * SETTLING_LATENCIES;
    this.#nextTrialAt = now + PAUSE_AFTER_FAILED_TRIAL_MILLISECONDS;
    return trial.limit;
  }
}

function isBetter(trial: Trial, measurement: Measurement): boolean {
  const {before, direction} = trial;
  const isThroughputKept =
    measurement.throughput >=
    before.throughput * MINIMUM_THROUGHPUT_SHARES[direction];
  const isFaster =
    measurement.latency <=
    before.latency * MAXIMUM_LATENCY_SHARE_AFTER_STEP_DOWN;
  return isThroughputKept && (direction === 'up' || isFaster);
}

function isEpochComplete(epoch: Epoch, now: Milliseconds): boolean {
  return (
    epoch.completions >= MINIMUM_EPOCH_SAMPLES &&
    now - epoch.startedAt >= MINIMUM_EPOCH_MILLISECONDS
  );
}

function measure(epoch: Epoch, now: Milliseconds): Measurement {
  return {
    isSaturated: epoch.saturatedCompletions > epoch.completions / 2,
    latency: epoch.latencySum / epoch.completions,
    throughput: epoch.completions / (now - epoch.startedAt),
  };
}

function createEpoch(startedAt: Milliseconds): Epoch {
  return {completions: 0, latencySum: 0, saturatedCompletions: 0, startedAt};
}
