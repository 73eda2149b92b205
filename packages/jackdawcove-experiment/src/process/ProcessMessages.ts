/** Messages between the experiment tool and the processes that it starts. */

import type {
  StandInCommand,
  StandInExecution,
} from '../standIn/StandInTypes.js';
import type {Address} from 'jackdawcove-shared';

import {addressSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  standInCommandSchema,
  standInSettingsSchema,
} from '../standIn/StandInTypes.js';

/** Baselines, which replace the overload control of the daemons. */
export const BASELINES = [
  'callerThrottling',
  'fixedLimit',
  'none',
  'noControl',
] as const;

/** Schema of a baseline; `none` keeps the overload control of jackdawcove. */
export const baselineSchema = z.enum(BASELINES);

/** A baseline. */
export type Baseline = z.infer<typeof baselineSchema>;

/** Schema of the message that starts the daemon of a daemon process. */
export const daemonStartSchema = z.object({
  baseline: baselineSchema,
  settingsText: z.string(),
});

/** Schema of the reply of a daemon process whose daemon accepts calls. */
export const daemonStartedSchema = z.object({
  addresses: z.object({
    administration: addressSchema,
    caller: addressSchema,
    fleet: addressSchema,
    local: addressSchema,
  }),
  kind: z.literal('started'),
});

/** Addresses of a started daemon. */
export type DaemonAddresses = z.infer<typeof daemonStartedSchema>['addresses'];

/** Schema of a message to the process of the stand-in backend servers. */
export const standInRequestSchema = z.discriminatedUnion('kind', [
  z.object({
    command: standInCommandSchema,
    instance: z.string(),
    kind: z.literal('command'),
    requestNumber: z.int(),
  }),
  z.object({kind: z.literal('getExecutions'), requestNumber: z.int()}),
  z.object({
    kind: z.literal('start'),
    requestNumber: z.int(),
    settings: standInSettingsSchema,
  }),
]);

/** Message to the process of the stand-in backend servers. */
export type StandInRequest = z.infer<typeof standInRequestSchema>;

/** Requests that one stand-in executed. */
export type InstanceExecutions = {
  readonly executions: readonly StandInExecution[];
  readonly instance: string;
};

/** Reply of the process of the stand-in backend servers. */
export type StandInReply = {
  /** Address of the stand-in; only in the reply to `start`. */
  readonly address?: Address;
  /** Executions of every stand-in; only in the reply to `getExecutions`. */
  readonly executions?: readonly InstanceExecutions[];
  readonly requestNumber: number;
};

export type {StandInCommand};
