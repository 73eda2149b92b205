export type {Failure} from './Failure.js';
export type {
  Address,
  AvailabilityZoneName,
  DaemonName,
  Incarnation,
  InstanceName,
  ServiceName,
} from './Identity.js';
export type {Importance} from './Importance.js';
export type {InvariantCode} from './InvariantCodes.js';
export type {RandomNumber} from './Random.js';
export type {ResultCode, ResultName} from './ResultCodes.js';
export type {Executed} from './ResultTable.js';
export type {Teardown} from './Teardown.js';
export type {Milliseconds, MonotonicClock, WallClock} from './Time.js';

export {
  createFailure,
  failureSchema,
  formatFailure,
  resultNameSchema,
} from './Failure.js';
export {digestHex, hashToUint32, hashToUnit} from './Hash.js';
export {
  FIRST_FINAL_STATUS,
  isFinalStatus,
  MAXIMUM_HTTP_STATUS,
  MINIMUM_HTTP_STATUS,
} from './HttpStatus.js';
export {
  addressSchema,
  formatAddress,
  isCount,
  isName,
  MAXIMUM_SLOTS,
  nameSchema,
  parseAddress,
} from './Identity.js';
export {
  getImportanceRank,
  IMPORTANCES,
  importanceSchema,
} from './Importance.js';
export {invariant, InvariantError} from './Invariant.js';
export {INVARIANT_MESSAGES} from './InvariantCodes.js';
export {getNumberBase, ProcessNumbers} from './ProcessNumbers.js';
export {createSeededRandom, pickRandom, shuffle} from './Random.js';
export {getResultCode, RESULT_CODES} from './ResultCodes.js';
export {PER_MILLE} from './Shares.js';
export {mergeTeardowns} from './Teardown.js';
export {MILLISECONDS_PER_MINUTE, MILLISECONDS_PER_SECOND} from './Time.js';
export {WindowCount} from './WindowCount.js';
