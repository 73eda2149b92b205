/** Strategies of the adaptive limit. */

import type {LimitStrategy} from './ConcurrencyLimit.js';
import type {Milliseconds} from 'jackdawcove-shared';

const SAMPLES_PER_MEAN = 100;
const TOLERANCE = 2;
const AIMD_FACTOR = 0.95;
const GRADIENT_MINIMUM = 0.5;
const GRADIENT_SMOOTHING = 0.05;
const BASE_RISE_PER_MEAN = 1.01;

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

  getInflation(): number {
    return this.#base === 0 ? 1 : this.#mean / this.#base;
  }
}
