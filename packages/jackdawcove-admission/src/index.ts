export type {
  AdmissionControllerOptions,
  AdmissionEffect,
  AdmissionLoad,
  AdmissionSwitches,
  AnnouncedCapacity,
  Completion,
} from './AdmissionTypes.js';
export type {AdmissionRequest} from './AdmissionQueue.js';
export type {
  CreateLimitStrategy,
  LimitSample,
  LimitStrategy,
} from './ConcurrencyLimit.js';

export {AdmissionController} from './AdmissionController.js';
export {DEFAULT_ADMISSION_SWITCHES} from './AdmissionTypes.js';
export {
  createAimdLimit,
  createFixedLimit,
  createGradientLimit,
} from './LimitStrategies.js';
export {createTrialLimit} from './TrialLimit.js';
