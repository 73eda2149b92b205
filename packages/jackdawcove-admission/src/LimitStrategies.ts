/** Strategies of the adaptive concurrency limit. */

import type {LimitStrategy} from './ConcurrencyLimit.js';
import type {Milliseconds} from 'jackdawcove-shared';

const SAMPLES_PER_MEAN = 100;
const INFLATION_TOLERANCE = 2;
const AIMD_DECREASE_FACTOR = 0.95;
const MINIMUM_GRADIENT = 0.5;
const GRADIENT_SMOOTHING = 0.05;
const BASELINE_RISE_FACTOR = 1.01;

/**
 * Creates a strategy that keeps the limit at the announced slots.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createFixedLimit});
 */
export function createFixedLimit(): LimitStrategy {
  return {update: (limit) => limit};
}

/**
 * Creates a strategy with additive increase and multiplicative decrease (AIMD), driven
 * by the latency relative to a baseline.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createAimdLimit});
 */
export function createAimdLimit(): LimitStrategy {
  const latency = new LatencyBaseline();
  return {
    update: (limit, sample) => {
      latency.record(sample.ownMilliseconds);
      if (latency.getInflation() > INFLATION_TOLERANCE) {
        return limit * AIMD_DECREASE_FACTOR ** (1 / Math.max(1, limit));
      }
      return limit + 1 / Math.max(1, limit);
    },
  };
}

/**
 * Creates a strategy that scales the limit by the gradient of the latency relative to
 * a baseline.
 *
 * @example
 * new AdmissionController({createLimitStrategy: createGradientLimit});
 */
export function createGradientLimit(): LimitStrategy {
  const latency = new LatencyBaseline();
  return {
    update: (limit, sample) => {
      latency.record(sample.ownMilliseconds);
      const raw = INFLATION_TOLERANCE / Math.max(1, latency.getInflation());
      const gradient = Math.min(1, Math.max(MINIMUM_GRADIENT, raw));
      const target = limit * gradient + Math.sqrt(limit);
      const weight = GRADIENT_SMOOTHING / Math.max(1, Math.sqrt(limit));
      return limit + (target - limit) * weight;
    },
  };
}

/** Mean latency of the last samples relative to the minimum of earlier means. */
class LatencyBaseline {
  #baseline = 0;
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
    const raisedBaseline = this.#baseline * BASELINE_RISE_FACTOR;
    this.#baseline =
      this.#baseline === 0 ? this.#mean : Math.min(this.#mean, raisedBaseline);
  }

  getInflation(): number {
    return this.#baseline === 0 ? 1 : this.#mean / this.#baseline;
  }
}
