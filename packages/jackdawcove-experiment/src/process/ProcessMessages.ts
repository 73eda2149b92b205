/** Messages between the experiment tool and the processes that it starts. */

import type {StandInCommand, StandInRun} from '../standIn/StandInTypes.js';
import type {Address} from 'jackdawcove-shared';

import {addressSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {
  standInCommandSchema,
  standInSettingsSchema,
} from '../standIn/StandInTypes.js';

/** Baselines that replace the control of the daemons. */
export const BASELINES = [
  'callerThrottling',
  'fixedLimit',
  'none',
  'noControl',
] as const;

/** Schema of a baseline; `none` is jackdawcove as it is. */
export const baselineSchema = z.enum(BASELINES);

/** A baseline. */
export type Baseline = z.infer<typeof baselineSchema>;

/** Schema of the first message to a daemon process. */
export const daemonStartSchema = z.object({
  baseline: baselineSchema,
  settingsText: z.string(),
});

/** Schema of the answer of a daemon process that takes calls. */
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

/** Schema of a message to the process of the stand-ins. */
export const standInRequestSchema = z.discriminatedUnion('kind', [
  z.object({
    command: standInCommandSchema,
    instance: z.string(),
    kind: z.literal('command'),
    request: z.int(),
  }),
  z.object({kind: z.literal('getRuns'), request: z.int()}),
  z.object({
    kind: z.literal('start'),
    request: z.int(),
    settings: standInSettingsSchema,
  }),
]);

/** Message to the process of the stand-ins. */
export type StandInRequest = z.infer<typeof standInRequestSchema>;

/** Runs of one stand-in. */
export type InstanceRuns = {
  readonly instance: string;
  readonly runs: readonly StandInRun[];
};

/** Answer of the process of the stand-ins. */
export type StandInReply = {
  /** Address of a started stand-in. */
  readonly address?: Address;
  readonly request: number;
  readonly runs?: readonly InstanceRuns[];
};

export type {StandInCommand};
