export type {
  JackdawDependencies,
  ToolRequest,
  ToolResponse,
} from './JackdawDependencies.js';

export {createDependencies} from './createDependencies.js';
export {runJackdaw} from './runJackdaw.js';
