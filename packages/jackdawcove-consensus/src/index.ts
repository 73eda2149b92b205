export type {Replica, ReplicaIdentity, ReplicaSet} from './Replica.js';

export {
  replicaIdentitySchema,
  replicaSchema,
  replicaSetSchema,
} from './Replica.js';
