/** Schemas of scenario files: deployment, load steps, faults, baseline. */

import {nameSchema} from 'jackdawcove-shared';
import {z} from 'zod';

import {baselineSchema} from '../process/ProcessMessages.js';

const nonNegativeNumberSchema = z.coerce.number().min(0);
const positiveIntegerSchema = z.coerce.number().int().positive();
const listSchema = z.string().transform((text) =>
  text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== ''),
);

/** Schema of the `[scenario]` section. */
export const scenarioSectionSchema = z.strictObject({
  baseline: baselineSchema.default('none'),
  callerTimeoutMilliseconds: positiveIntegerSchema.default(1_000),
  deployment: z.string(),
  durationMilliseconds: positiveIntegerSchema,
  name: z.string(),
  resends: z.coerce.number().int().min(0).default(3),
  scale: z.string(),
  seed: z.coerce.number().int().default(1),
});

/** Schema of the `[fleet]` section. */
export const fleetSectionSchema = z.strictObject({
  availabilityZones: listSchema.pipe(z.array(nameSchema).min(1)),
  voters: z.coerce.number().int().min(0).default(3),
});

/** Schema of a `[service.NAME]` section. */
export const serviceSectionSchema = z.strictObject({
  answerBytes: z.coerce.number().int().min(0).default(256),
  children: listSchema.default([]),
  coldStartFactor: z.coerce.number().min(1).default(1),
  coldStartMilliseconds: z.coerce.number().int().min(0).default(0),
  connections: positiveIntegerSchema,
  instances: positiveIntegerSchema,
  serviceMilliseconds: nonNegativeNumberSchema,
  slots: positiveIntegerSchema,
});

/** Schema of a `[load.NAME]` section. */
export const loadSectionSchema = z.strictObject({
  bodyBytes: z.coerce.number().int().min(0).default(0),
  importance: z.string().default('normal'),
  method: z.enum(['GET', 'PATCH', 'POST', 'PUT']).default('GET'),
  path: z.string().startsWith('/'),
  service: nameSchema,
  share: nonNegativeNumberSchema,
});

/** Schema of a `[step.N]` section: a rate as a multiple of the capacity. */
export const stepSectionSchema = z.strictObject({
  atMilliseconds: nonNegativeNumberSchema,
  rate: nonNegativeNumberSchema,
});

/** Schema of a `[fault.N]` section. */
export const faultSectionSchema = z.strictObject({
  atMilliseconds: nonNegativeNumberSchema,
  kind: z.enum([
    'changeConfiguration',
    'crashMarker',
    'drainInstance',
    'killDaemon',
    'pauseDaemon',
    'resumeDaemon',
    'rollingRestart',
    'serviceTime',
  ]),
  target: z.string().default(''),
  value: z.string().default(''),
});

/** Schema of a whole scenario. */
export const scenarioSchema = z.strictObject({
  faults: z.array(faultSectionSchema),
  fleet: fleetSectionSchema,
  loads: z.record(nameSchema, loadSectionSchema),
  scenario: scenarioSectionSchema,
  services: z.record(nameSchema, serviceSectionSchema),
  steps: z.array(stepSectionSchema).min(1),
});

/** A whole scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** A fault of a scenario. */
export type ScenarioFault = z.infer<typeof faultSectionSchema>;
