/** Table of the endpoints, from which routes and OpenAPI document are generated. */

import type {z} from 'zod';

import {
  appliedConfigurationSchema,
  configurationChangeInputSchema,
  configurationRecordSchema,
  configurationStatusSchema,
  daemonStatusSchema,
  drainAnswerSchema,
  drainSchema,
  emptyInputSchema,
  historySchema,
  membersSchema,
  quarantineReleaseSchema,
  quarantineSchema,
  revisionQuerySchema,
  timelineAnswerSchema,
  timelineQuerySchema,
  voterChangeInputSchema,
  votersSchema,
} from './AdministrationSchemas.js';

/** Right that a token grants; the right to change includes the right to read. */
export type AdministrationRight = 'change' | 'read';

/** One endpoint: a query (GET) or a command (POST). */
export type AdministrationEndpoint = {
  readonly description: string;
  /** Query string of a GET, JSON body of a POST. */
  readonly input: z.ZodObject;
  readonly method: 'GET' | 'POST';
  readonly output: z.ZodType;
  readonly path: string;
  readonly right: AdministrationRight;
};

/** All endpoints, by the name of their operation. */
export const ADMINISTRATION_ENDPOINTS = {
  applyConfiguration: {
    description:
      'Proposes a fleet configuration. A resend under the same change identifier returns the first result.',
    input: configurationChangeInputSchema,
    method: 'POST',
    output: configurationRecordSchema,
    path: '/configuration/changes',
    right: 'change',
  },
  changeVoters: {
    description: 'Replaces the set of daemons that vote, step by step.',
    input: voterChangeInputSchema,
    method: 'POST',
    output: votersSchema,
    path: '/voters/changes',
    right: 'change',
  },
  drain: {
    description: 'Drains the asked daemon and its backend server.',
    input: drainSchema,
    method: 'POST',
    output: drainAnswerSchema,
    path: '/drain',
    right: 'change',
  },
  getAppliedConfiguration: {
    description: 'Returns the configuration that the asked daemon runs.',
    input: emptyInputSchema,
    method: 'GET',
    output: appliedConfigurationSchema,
    path: '/configuration/applied',
    right: 'read',
  },
  getConfiguration: {
    description: 'Returns the newest accepted configuration or an older one.',
    input: revisionQuerySchema,
    method: 'GET',
    output: configurationRecordSchema,
    path: '/configuration',
    right: 'read',
  },
  getConfigurationHistory: {
    description: 'Returns the accepted changes, newest first.',
    input: emptyInputSchema,
    method: 'GET',
    output: historySchema,
    path: '/configuration/history',
    right: 'read',
  },
  getConfigurationStatus: {
    description: 'Returns which members run which revision.',
    input: emptyInputSchema,
    method: 'GET',
    output: configurationStatusSchema,
    path: '/configuration/status',
    right: 'read',
  },
  getMembers: {
    description: 'Returns the members that the asked daemon knows.',
    input: emptyInputSchema,
    method: 'GET',
    output: membersSchema,
    path: '/members',
    right: 'read',
  },
  getQuarantine: {
    description: 'Returns the quarantined fingerprints.',
    input: emptyInputSchema,
    method: 'GET',
    output: quarantineSchema,
    path: '/quarantine',
    right: 'read',
  },
  getStatus: {
    description: 'Returns the status and the loads of the asked daemon.',
    input: emptyInputSchema,
    method: 'GET',
    output: daemonStatusSchema,
    path: '/status',
    right: 'read',
  },
  getTimeline: {
    description:
      'Returns the merged events of every daemon in reach, and the daemons that did not answer.',
    input: timelineQuerySchema,
    method: 'GET',
    output: timelineAnswerSchema,
    path: '/timeline',
    right: 'read',
  },
  getVoters: {
    description: 'Returns the voters and their leader.',
    input: emptyInputSchema,
    method: 'GET',
    output: votersSchema,
    path: '/voters',
    right: 'read',
  },
  releaseQuarantine: {
    description: 'Releases a fingerprint in the whole fleet.',
    input: quarantineReleaseSchema,
    method: 'POST',
    output: quarantineSchema,
    path: '/quarantine/releases',
    right: 'change',
  },
} as const satisfies Readonly<Record<string, AdministrationEndpoint>>;

/** Name of an operation. */
export type OperationName = keyof typeof ADMINISTRATION_ENDPOINTS;

/** Validated input of an operation. */
export type OperationInput<Name extends OperationName> = z.output<
  (typeof ADMINISTRATION_ENDPOINTS)[Name]['input']
>;

/** Answer of an operation. */
export type OperationOutput<Name extends OperationName> = z.input<
  (typeof ADMINISTRATION_ENDPOINTS)[Name]['output']
>;

/** Names of the operations. */
export const OPERATION_NAMES = Object.keys(
  ADMINISTRATION_ENDPOINTS,
) as OperationName[];
