export type {InstanceCandidate} from './InstanceCandidate.js';
