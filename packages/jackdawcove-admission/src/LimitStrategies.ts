/** Strategies of the adaptive limit. */

import type {LimitSample, LimitStrategy} from './ConcurrencyLimit.js';
import type {Milliseconds} from 'jackdawcove-shared';

const SAMPLES_PER_MEAN = 100;
const TOLERANCE = 2;
const AIMD_FACTOR = 0.95;
const GRADIENT_MINIMUM = 0.5;
const GRADIENT_SMOOTHING = 0.05;
const BASE_RISE_PER_MEAN = 1.01;
const EPOCH_MILLISECONDS = 500;
const HOLD_MILLISECONDS = 5_000;
const STEP_DOWN = 0.85;
const STEP_UP = 1.1;
const KEPT_THROUGHPUT = 0.95;
const SATURATION = 0.9;

/**
 * Keeps the limit at the announced slots.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createFixedLimit});
 */
export function createFixedLimit(): LimitStrategy {
  return {update: (limit) => limit};
}

/**
 * Additive increase, multiplicative decrease on the latency against a baseline.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createAimdLimit});
 */
export function createAimdLimit(): LimitStrategy {
  const latency = new LatencyBaseline();
  return {
    update: (limit, sample) => {
      latency.record(sample.ownMilliseconds);
      if (latency.getInflation() > TOLERANCE) {
        return limit * AIMD_FACTOR ** (1 / Math.max(1, limit));
      }
      return limit + 1 / Math.max(1, limit);
    },
  };
}

/**
 * Scales the limit by the gradient of the latency against a baseline.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createGradientLimit});
 */
export function createGradientLimit(): LimitStrategy {
  const latency = new LatencyBaseline();
  return {
    update: (limit, sample) => {
      latency.record(sample.ownMilliseconds);
      const raw = TOLERANCE / Math.max(1, latency.getInflation());
      const gradient = Math.min(1, Math.max(GRADIENT_MINIMUM, raw));
      const target = limit * gradient + Math.sqrt(limit);
      const weight = GRADIENT_SMOOTHING / Math.max(1, Math.sqrt(limit));
      return limit + (target - limit) * weight;
    },
  };
}

/**
 * Lowers the limit in trials while the latency is inflated, and keeps a step
 * only when the throughput did not fall: a backend server that is slow for
 * reasons of its own keeps its slots.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createTrialLimit});
 */
export function createTrialLimit(): LimitStrategy {
  return new TrialLimit();
}

/** Mean latency of the last samples against the least of earlier means. */
class LatencyBaseline {
  #base = 0;
  #count = 0;
  #mean = 0;
  #sum = 0;

  record(milliseconds: Milliseconds): void {
    this.#sum += milliseconds;
    this.#count += 1;
    if (this.#count < SAMPLES_PER_MEAN) {
      return;
    }
    this.#mean = this.#sum / this.#count;
    this.#sum = 0;
    this.#count = 0;
    const raised = this.#base * BASE_RISE_PER_MEAN;
    this.#base = this.#base === 0 ? this.#mean : Math.min(this.#mean, raised);
  }

  /** Accepts the present latency as the baseline. */
  accept(): void {
    this.#base = this.#mean;
  }

  getInflation(): number {
    return this.#base === 0 ? 1 : this.#mean / this.#base;
  }
}

type Epoch = {
  completions: number;
  endsAt: Milliseconds;
  saturated: number;
  startedAt: Milliseconds;
};

class TrialLimit implements LimitStrategy {
  #epoch: Epoch | undefined;
  #heldUntil = 0;
  readonly #latency = new LatencyBaseline();
  #trial: undefined | {limit: number; throughput: number};

  update(limit: number, sample: LimitSample, now: Milliseconds): number {
    this.#latency.record(sample.ownMilliseconds);
    this.#epoch ??= createEpoch(now);
    this.#epoch.completions += sample.isSuccess ? 1 : 0;
    this.#epoch.saturated += sample.inFlight >= limit * SATURATION ? 1 : 0;
    if (now < this.#epoch.endsAt) {
      return limit;
    }
    const epoch = this.#epoch;
    this.#epoch = createEpoch(now);
    return this.#decide(limit, epoch, now);
  }

  #decide(limit: number, epoch: Epoch, now: Milliseconds): number {
    const throughput = epoch.completions / (now - epoch.startedAt);
    const isSaturated = epoch.saturated > epoch.completions / 2;
    const trial = this.#trial;
    this.#trial = undefined;
    if (
      trial !== undefined &&
      throughput < trial.throughput * KEPT_THROUGHPUT
    ) {
      this.#latency.accept();
      this.#heldUntil = now + HOLD_MILLISECONDS;
      return trial.limit;
    }
    if (!isSaturated || now < this.#heldUntil) {
      return limit;
    }
    if (this.#latency.getInflation() > TOLERANCE) {
      this.#trial = {limit, throughput};
      return limit * STEP_DOWN;
    }
    return limit * STEP_UP;
  }
}

function createEpoch(now: Milliseconds): Epoch {
  return {
    completions: 0,
    endsAt: now + EPOCH_MILLISECONDS,
    saturated: 0,
    startedAt: now,
  };
}
