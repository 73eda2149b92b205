/** Defines the rows, columns and cells of the fault matrix. */

import {z} from 'zod';

/** Steps of a call, in their order. */
export const CALL_STEPS = [
  'beforeClaim',
  'claimed',
  'queued',
  'dispatched',
  'running',
  'answering',
  'answered',
] as const;

/** Steps of a configuration change, in their order. */
export const CHANGE_STEPS = [
  'proposed',
  'appended',
  'synced',
  'committed',
  'spread',
  'applied',
] as const;

/** Names of faults and pairs of faults, with the text that the page shows. */
export const FAULT_ROWS = [
  [
    'slowServiceSurge',
    'deep service slow, demand surges, callers retry aggressively',
  ],
  ['controlVmIsolated', 'control VM isolated by a long silent partition'],
  [
    'operatorsRace',
    'operators race with changes for the same revision, and resend',
  ],
  ['secondVmLost', 'second VM lost right after a repair'],
  ['restartAfterChanges', 'restart after hundreds of changes'],
  ['crashRequest', 'a request crashes its backend server'],
  ['openConnectionsSilent', 'open connections silent, new ones work'],
  ['availabilityZoneCutOff', 'availability zone cut off'],
  ['plannedStop', 'planned stop'],
  ['coldStart', 'cold start'],
  ['misreportingHealthEndpoint', 'misreporting health endpoint'],
  ['isolatedAndRace', 'control VM isolated + operators race'],
  ['isolatedAndSecondLost', 'control VM isolated + second VM lost'],
  ['isolatedTwice', 'control VM isolated, then another one'],
  ['restartAndRace', 'restart after hundreds of changes + operators race'],
  ['restartAndZoneCut', 'restart after hundreds of changes + zone cut off'],
  ['surgeAndCrash', 'surge + crash request'],
  ['surgeAndZoneCut', 'surge + zone cut off'],
  ['surgeAndColdStart', 'surge + cold start'],
  ['surgeAndMisreportingHealth', 'surge + misreporting health endpoint'],
  ['silentTwice', 'open connections silent twice'],
  ['silentAndStop', 'open connections silent + planned stop'],
  ['silentAndCrash', 'open connections silent + crash request'],
  ['zoneCutAndCrash', 'zone cut off + crash request'],
  ['zoneCutAndStop', 'zone cut off + planned stop'],
  ['crashTwice', 'the crash request is sent again'],
  ['stopTwice', 'planned stop of a second daemon'],
] as const;

/** Promises made to the users, by name; each cell names the promise it tests. */
export const PROMISES = {
  bounded: 'retries stay bounded',
  completes: 'a planned stop interrupts no call',
  importantLast: 'important requests are shed last',
  neverReverts: 'an accepted configuration never reverts',
  noNewWork: 'a draining backend server gets no new work',
  once: 'a request runs at most once; one reported as not run has not run; every call ends',
  recovers: 'service returns to normal soon after the fault',
  wholeAnswer:
    'the caller gets the whole answer to its own request, or an error',
} as const;

const stepSchema = z.enum([...CALL_STEPS, ...CHANGE_STEPS]);

const rowSchema = z.enum(FAULT_ROWS.map(([name]) => name));

const promiseSchema = z.enum(
  Object.keys(PROMISES) as (keyof typeof PROMISES)[],
);

const proofSchema = z.object({
  /** Path of the source file under `packages`. */
  file: z.string(),
  /** Name of the test, or the end of the name if it is assembled from parts. */
  test: z.string(),
});

const evidenceSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('proved'),
    /** What the test leaves out; undefined if nothing. */
    limit: z.string().optional(),
    proofs: z.array(proofSchema).min(1),
  }),
  z.object({kind: z.literal('notApplicable'), reason: z.string()}),
  z.object({kind: z.literal('notProved'), reason: z.string()}),
]);

/** Schema of one cell. */
export const faultCaseSchema = z.object({
  column: stepSchema,
  evidence: evidenceSchema,
  promise: promiseSchema,
  row: rowSchema,
});

/** Step of a call or of a configuration change. */
export type FaultStep = z.infer<typeof stepSchema>;

/** Name of a fault or a pair of faults. */
export type FaultRow = z.infer<typeof rowSchema>;

/** Test that proves a cell. */
export type FaultProof = z.infer<typeof proofSchema>;

/** Evidence for a cell: proofs, or the reason why there are none. */
export type FaultEvidence = z.infer<typeof evidenceSchema>;

/** One cell of the matrix. A cell that has no case is not proved. */
export type FaultCase = z.infer<typeof faultCaseSchema>;
