/** Schema of the settings of one daemon, grouped by section. */

import {z} from 'zod';

import {
  ANNOUNCEMENT_INTERVAL_MILLISECONDS,
  ANNOUNCEMENT_LEASE_MILLISECONDS,
  ANNOUNCEMENT_SKEW_MILLISECONDS,
  BODY_BYTES,
  BUFFERED_BYTES,
  CALLER_CONNECTIONS,
  CALLER_TIMEOUT_MILLISECONDS,
  DEFAULT_ADMINISTRATION_ADDRESS,
  DEFAULT_METRICS_PREFIX,
  DRAIN_GRACE_MILLISECONDS,
  DRAIN_SPREAD_MILLISECONDS,
  EVENT_LOOP_DELAY_MILLISECONDS,
  FAIR_SHARE_PER_MILLE,
  FAULT_TOLERANCE,
  HEADER_BYTES,
  MINIMUM_SECRET_LENGTH,
  OPEN_CALLS,
  QUARANTINE_CRASHES,
  RETRIES_PER_MILLE,
  RETRY_TOKENS,
  TIMELINE_CAPACITY,
  VOTER_COUNTS,
} from './SettingsConstants.js';
import {
  addressField,
  addressListField,
  booleanField,
  createIntegerField,
  listenAddressField,
  loopbackAddressField,
  nameField,
  nameListField,
  requiredNameListField,
  textField,
} from './SettingsFields.js';

const LOG_LEVELS = [
  'trace',
  'debug',
  'info',
  'warn',
  'error',
  'fatal',
] as const;

const secretField = z
  .string()
  .min(MINIMUM_SECRET_LENGTH)
  .describe(`a secret of ${String(MINIMUM_SECRET_LENGTH)} characters or more`);

const secretListField = z
  .array(secretField)
  .default([])
  .describe(
    `one secret per line, each of ${String(MINIMUM_SECRET_LENGTH)} characters or more`,
  );

const initialVotersField = nameListField
  .refine((names) => names.length === 0 || VOTER_COUNTS.includes(names.length))
  .default([])
  .describe(
    `a comma-separated list of ${VOTER_COUNTS.join(', ')} daemon names`,
  );

/**
 * Schemas of the sections. Their input is the text values of the settings file,
 * after the paths of secret files have been replaced by the file contents.
 */
export const sectionSchemas = {
  administration: z.strictObject({
    changeTokens: secretListField,
    readTokens: secretListField,
  }),
  announcement: z.strictObject({
    intervalMilliseconds: createIntegerField(
      ANNOUNCEMENT_INTERVAL_MILLISECONDS,
    ),
    leaseMilliseconds: createIntegerField(ANNOUNCEMENT_LEASE_MILLISECONDS),
    skewMilliseconds: createIntegerField(ANNOUNCEMENT_SKEW_MILLISECONDS),
  }),
  control: z.strictObject({
    faultTolerance: createIntegerField(FAULT_TOLERANCE),
    initialVoters: initialVotersField,
    voter: booleanField.default(false).describe('true or false'),
  }),
  daemon: z.strictObject({
    availabilityZone: nameField,
    dataFolder: textField.optional().describe('the path of a folder'),
    name: nameField,
    region: nameField,
  }),
  drain: z.strictObject({
    graceMilliseconds: createIntegerField(DRAIN_GRACE_MILLISECONDS),
    spreadMilliseconds: createIntegerField(DRAIN_SPREAD_MILLISECONDS),
  }),
  fleet: z.strictObject({
    availabilityZones: requiredNameListField,
    key: secretField,
    previousKey: secretField.optional().describe(secretField.description ?? ''),
    seeds: addressListField
      .default([])
      .describe('a comma-separated list of IP:PORT'),
  }),
  limits: z.strictObject({
    bodyBytes: createIntegerField(BODY_BYTES),
    bufferedBytes: createIntegerField(BUFFERED_BYTES),
    callerConnections: createIntegerField(CALLER_CONNECTIONS),
    callerTimeoutMilliseconds: createIntegerField(CALLER_TIMEOUT_MILLISECONDS),
    eventLoopDelayMilliseconds: createIntegerField(
      EVENT_LOOP_DELAY_MILLISECONDS,
    ),
    headerBytes: createIntegerField(HEADER_BYTES),
    openCalls: createIntegerField(OPEN_CALLS),
  }),
  listen: z.strictObject({
    administration: listenAddressField
      .prefault(DEFAULT_ADMINISTRATION_ADDRESS)
      .describe(listenAddressField.description ?? ''),
    caller: listenAddressField,
    fleet: listenAddressField,
    local: loopbackAddressField,
  }),
  log: z.strictObject({
    file: textField.optional().describe('the path of a file'),
    level: z
      .enum(LOG_LEVELS)
      .default('info')
      .describe(`one of ${LOG_LEVELS.join(', ')}`),
  }),
  metrics: z.strictObject({
    listen: addressField.optional().describe(addressField.description ?? ''),
    prefix: textField
      .default(DEFAULT_METRICS_PREFIX)
      .describe('a non-blank text'),
    statsd: addressField.optional().describe(addressField.description ?? ''),
  }),
  quarantine: z.strictObject({
    crashes: createIntegerField(QUARANTINE_CRASHES),
    suspectsAlone: booleanField.default(true).describe('true or false'),
  }),
  relay: z.strictObject({
    fairSharePerMille: createIntegerField(FAIR_SHARE_PER_MILLE),
    /** `cost`: admission and placement by the slot time that requests use. */
  }),
  retry: z.strictObject({
    perMilleOfSuccesses: createIntegerField(RETRIES_PER_MILLE),
    tokens: createIntegerField(RETRY_TOKENS),
  }),
  timeline: z.strictObject({
    capacity: createIntegerField(TIMELINE_CAPACITY),
  }),
} as const;

/** Schema of the settings of one daemon. */
export const daemonSettingsSchema = z.strictObject(sectionSchemas);

/** Name of a section of the settings file. */
export type SectionName = keyof typeof sectionSchemas;

/**
 * Validated settings of one daemon.
 *
 * @example
 * settings.listen.caller.port;
 */
export type DaemonSettings = Readonly<z.infer<typeof daemonSettingsSchema>>;
