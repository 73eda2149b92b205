export type {PassthroughProxy} from './PassthroughUtils.js';
export type {ServerSideProxyOptions} from './startServerSideProxy.js';
export type {CallerSideProxyOptions} from './startCallerSideProxy.js';

export {startServerSideProxy} from './startServerSideProxy.js';
export {startCallerSideProxy} from './startCallerSideProxy.js';
