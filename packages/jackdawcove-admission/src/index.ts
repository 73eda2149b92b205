export type {
  AdmissionControllerOptions,
  AdmissionEffect,
  AdmissionLoad,
  AdmissionSwitches,
  AnnouncedCapacity,
  Completion,
} from './AdmissionController.js';
export type {AdmissionRequest} from './AdmissionQueue.js';
export type {
  CreateLimitStrategy,
  LimitSample,
  LimitStrategy,
} from './ConcurrencyLimit.js';

export {
  AdmissionController,
  DEFAULT_ADMISSION_SWITCHES,
} from './AdmissionController.js';
export {
  createAimdLimit,
  createFixedLimit,
  createGradientLimit,
} from './LimitStrategies.js';
export {createTrialLimit} from './TrialLimit.js';
