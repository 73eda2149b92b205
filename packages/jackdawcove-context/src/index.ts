export type {PropagatedContext} from './ContextHeader.js';
export type {RequestContext, RootAttributes} from './RequestContext.js';

export {
  CONTEXT_HEADER_NAME,
  CONTEXT_VERSION,
  MAXIMUM_HEADER_LENGTH,
  MAXIMUM_IDENTIFIER_LENGTH,
  MAXIMUM_SUPPORTED_DEPTH,
} from './ContextConstants.js';
export {decodeContextHeader, encodeContextHeader} from './ContextHeader.js';
export {
  createDeadline,
  getRemainingMilliseconds,
  isExpired,
} from './Deadline.js';
export {
  createChildContext,
  createRootContext,
  getCohort,
  requestContextSchema,
} from './RequestContext.js';
