/** Faults that are injected into a simulated cluster of voters. */

/**
 * Fault settings. A rate is the probability per step; those of `drop`, `duplicate`
 * and `longDelay` apply to each message.
 */
export type VoterFaults = {
  readonly clockJump: number;
  readonly crash: number;
  /** Probability that a voter crashes right after it has committed an entry. */
  readonly crashOnCommit: number;
  readonly drop: number;
  readonly duplicate: number;
  /** Shortest election timeout, in milliseconds. */
  readonly electionTimeout: number;
  readonly isolate: number;
  readonly longDelay: number;
  /** Maximum delay of a message with a long delay, in milliseconds. */
  readonly longDelayLimit: number;
  /** Maximum duration of a fault, in milliseconds. */
  readonly maximumDuration: number;
  readonly pause: number;
  /** Probability that all voters lose power at the same time. */
  readonly powerLoss: number;
  readonly transfer: number;
  readonly voterChange: number;
  readonly wipe: number;
};

/** No faults at all. */
export const NO_FAULTS: VoterFaults = {
  clockJump: 0,
  crash: 0,
  crashOnCommit: 0,
  drop: 0,
  duplicate: 0,
  electionTimeout: 1_000,
  isolate: 0,
  longDelay: 0,
  longDelayLimit: 3_000,
  maximumDuration: 4_000,
  pause: 0,
  powerLoss: 0,
  transfer: 0,
  voterChange: 0,
  wipe: 0,
};

/** Fault profiles; the seed of a run selects one. */
export const FAULT_PROFILES: readonly VoterFaults[] = [
  {...NO_FAULTS, crash: 0.01, drop: 0.05, duplicate: 0.05, longDelay: 0.02},
  {...NO_FAULTS, drop: 0.3, duplicate: 0.2, isolate: 0.01, longDelay: 0.1},
  {...NO_FAULTS, clockJump: 0.005, crash: 0.005, drop: 0.02, pause: 0.01},
  {
    ...NO_FAULTS,
    crash: 0.005,
    drop: 0.02,
    isolate: 0.005,
    voterChange: 0.01,
    wipe: 0.01,
  },
  {
    ...NO_FAULTS,
    crash: 0.05,
    longDelay: 0.05,
    maximumDuration: 100,
    powerLoss: 0.005,
  },
  {
    ...NO_FAULTS,
    crash: 0.002,
    crashOnCommit: 0.2,
    drop: 0.02,
    maximumDuration: 2_500,
    powerLoss: 0.002,
  },
  {
    ...NO_FAULTS,
    crash: 0.1,
    electionTimeout: 100,
    longDelay: 0.5,
    longDelayLimit: 300,
    maximumDuration: 50,
  },
  {
    ...NO_FAULTS,
    crash: 0.02,
    crashOnCommit: 0.5,
    drop: 0.2,
    electionTimeout: 150,
    longDelay: 0.2,
    longDelayLimit: 300,
    maximumDuration: 700,
  },
  {
    ...NO_FAULTS,
    crashOnCommit: 0.1,
    drop: 0.1,
    isolate: 0.01,
    maximumDuration: 1_500,
  },
  {
    clockJump: 0.002,
    crash: 0.006,
    crashOnCommit: 0.02,
    drop: 0.1,
    duplicate: 0.05,
    electionTimeout: 1_000,
    isolate: 0.005,
    longDelay: 0.02,
    longDelayLimit: 3_000,
    maximumDuration: 4_000,
    pause: 0.004,
    powerLoss: 0.001,
    transfer: 0.01,
    voterChange: 0.003,
    wipe: 0.005,
  },
];
