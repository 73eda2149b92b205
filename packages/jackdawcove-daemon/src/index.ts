export type {DaemonOptions} from './Daemon.js';
export type {BoundAddresses} from './DaemonHost.js';

export {Daemon, startDaemon} from './Daemon.js';
