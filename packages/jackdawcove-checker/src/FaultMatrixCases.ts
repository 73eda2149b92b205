/** Lists the cells of the fault matrix that are proved or do not apply. */

import type {
  FaultCase,
  FaultProof,
  FaultRow,
  FaultStep,
} from './FaultMatrix.js';

import {CHANGE_STEPS} from './FaultMatrix.js';
import {
  CALL_FAULT_PROOFS,
  CALL_PAIR_PROOFS,
  CHANGE_FAULT_PROOFS,
  LEDGER_HISTORIES,
} from './FaultMatrixProofs.js';

type PromiseName = FaultCase['promise'];

function prove(
  row: FaultRow,
  column: FaultStep,
  promise: PromiseName,
  proof: FaultProof | readonly FaultProof[],
  limit?: string,
): FaultCase {
  const proofs = 'file' in proof ? [proof] : [...proof];
  return {
    column,
    evidence: {kind: 'proved', proofs, ...(limit === undefined ? {} : {limit})},
    promise,
    row,
  };
}

function exclude(
  row: FaultRow,
  columns: readonly FaultStep[],
  promise: PromiseName,
  reason: string,
): readonly FaultCase[] {
  return columns.map((column) => ({
    column,
    evidence: {kind: 'notApplicable', reason},
    promise,
    row,
  }));
}

const CALLS = CALL_FAULT_PROOFS;
const PAIRS = CALL_PAIR_PROOFS;
const CHANGES = CHANGE_FAULT_PROOFS;
const DECISION_LEVEL = 'decision level, no sockets';
const READS_ONLY = 'reads only';
const SHORT_ISOLATION = 'isolated for seconds only';
const FAULTS_APART = 'the second fault comes 3 s after the first';
const STOPPED_BY_TEST_ONLY =
  'the test stops the server; no request causes the stop';
const STOPPED_BY_TEST =
  'the test stops the server; a request causes the stop for reads only';
const SWEEP = 'the moment of the fault is moved in steps of 10 ms';
const SEEDED = 'the fault is injected at seeded moments, not aimed at the step';

const CALL_CASES: readonly FaultCase[] = [
  prove(
    'slowServiceSurge',
    'queued',
    'importantLast',
    CALLS.shedding,
    DECISION_LEVEL,
  ),
  prove('crashRequest', 'beforeClaim', 'once', CALLS.crash, STOPPED_BY_TEST),
  prove(
    'crashRequest',
    'running',
    'once',
    [CALLS.crash, CALLS.crashTwo],
    STOPPED_BY_TEST,
  ),
  prove(
    'crashRequest',
    'answering',
    'wholeAnswer',
    CALLS.crash,
    STOPPED_BY_TEST,
  ),
  prove('crashRequest', 'answered', 'once', CALLS.crash, STOPPED_BY_TEST),
  prove(
    'crashTwice',
    'running',
    'recovers',
    [CALLS.crashTwo, CALLS.crashMessages],
    READS_ONLY,
  ),
  prove('openConnectionsSilent', 'beforeClaim', 'once', CALLS.silent),
  prove(
    'openConnectionsSilent',
    'dispatched',
    'once',
    CALLS.silentSession,
    'session level',
  ),
  prove('openConnectionsSilent', 'running', 'once', [
    CALLS.silent,
    CALLS.silentLinks,
  ]),
  prove('openConnectionsSilent', 'answering', 'wholeAnswer', CALLS.silent),
  prove('openConnectionsSilent', 'answered', 'once', CALLS.silent),
  prove('availabilityZoneCutOff', 'beforeClaim', 'once', [
    CALLS.zoneCutOff,
    CALLS.zoneCutOffServes,
  ]),
  prove('availabilityZoneCutOff', 'claimed', 'once', LEDGER_HISTORIES, SEEDED),
  prove('availabilityZoneCutOff', 'running', 'once', CALLS.zoneCutOff),
  prove('availabilityZoneCutOff', 'answering', 'wholeAnswer', CALLS.zoneCutOff),
  prove('availabilityZoneCutOff', 'answered', 'once', CALLS.zoneCutOff),
  prove('plannedStop', 'beforeClaim', 'noNewWork', CALLS.stop),
  prove(
    'plannedStop',
    'dispatched',
    'noNewWork',
    CALLS.draining,
    DECISION_LEVEL,
  ),
  prove('plannedStop', 'running', 'completes', [CALLS.stop, CALLS.stopReads]),
  prove('plannedStop', 'answering', 'completes', CALLS.stop),
  prove('plannedStop', 'answered', 'once', CALLS.stop),
  prove('coldStart', 'queued', 'recovers', CALLS.coldStart, DECISION_LEVEL),
  prove(
    'misreportingHealthEndpoint',
    'dispatched',
    'recovers',
    CALLS.healthHints,
    DECISION_LEVEL,
  ),
];

/**
 * Steps that the concurrent calls of one test fleet have reached when the fault is
 * injected, each with the promise that the cell tests.
 */
const CALL_STEP_PROMISES = [
  ['beforeClaim', 'once'],
  ['running', 'once'],
  ['answering', 'wholeAnswer'],
  ['answered', 'once'],
] as const;

const PAIR_CASES: readonly FaultCase[] = CALL_STEP_PROMISES.flatMap(
  ([column, promise]) => [
    prove('silentAndStop', column, promise, PAIRS.silentAndStop),
    prove(
      'zoneCutAndCrash',
      column,
      promise,
      PAIRS.zoneCutAndCrash,
      STOPPED_BY_TEST_ONLY,
    ),
  ],
);

const CONTROL_CASES: readonly FaultCase[] = CALL_STEP_PROMISES.map(
  ([column, promise]) =>
    prove('controlVmIsolated', column, promise, CALLS.control, SHORT_ISOLATION),
);

/**
 * Pairs of faults that are injected one after the other. The first fault ends an
 * answer that is being sent, so the second one cannot affect that step.
 */
const SEPARATED_PAIR_CASES: readonly FaultCase[] = CALL_STEP_PROMISES.filter(
  ([column]) => column !== 'answering',
).flatMap(([column, promise]) => [
  prove('silentTwice', column, promise, PAIRS.silentTwice, FAULTS_APART),
  prove('silentAndCrash', column, promise, PAIRS.silentAndCrash, FAULTS_APART),
]);

const VOTER_STEPS: readonly FaultStep[] = CHANGE_STEPS.slice(0, 4);

const CHANGE_CASES: readonly FaultCase[] = [
  ...VOTER_STEPS.flatMap((column) => [
    prove('controlVmIsolated', column, 'neverReverts', CHANGES.isolated, SWEEP),
    prove('isolatedAndRace', column, 'neverReverts', CHANGES.isolated, SWEEP),
    prove('operatorsRace', column, 'neverReverts', CHANGES.seeded, SEEDED),
    prove('secondVmLost', column, 'neverReverts', CHANGES.secondLost, SWEEP),
  ]),
  prove(
    'controlVmIsolated',
    'applied',
    'neverReverts',
    CHANGES.noLeader,
    'the isolated VM is not a voter',
  ),
  prove(
    'operatorsRace',
    'applied',
    'neverReverts',
    CHANGES.anyDaemon,
    'one after the other, with resends',
  ),
  prove(
    'restartAfterChanges',
    'committed',
    'neverReverts',
    CHANGES.manyChanges,
    DECISION_LEVEL,
  ),
  prove('restartAfterChanges', 'applied', 'neverReverts', CHANGES.restart),
  prove(
    'availabilityZoneCutOff',
    'spread',
    'neverReverts',
    CHANGES.zoneCutOff,
    DECISION_LEVEL,
  ),
  prove(
    'availabilityZoneCutOff',
    'applied',
    'neverReverts',
    CHANGES.zoneCutOff,
    DECISION_LEVEL,
  ),
];

const EXCLUDED_CASES: readonly FaultCase[] = [
  ...(
    [
      'crashRequest',
      'crashTwice',
      'misreportingHealthEndpoint',
      'coldStart',
    ] as const
  ).flatMap((row) =>
    exclude(
      row,
      CHANGE_STEPS,
      'neverReverts',
      'a configuration change involves no backend server',
    ),
  ),
  ...exclude('coldStart', ['answered'], 'recovers', 'the call has ended'),
  ...exclude(
    'misreportingHealthEndpoint',
    ['answered'],
    'recovers',
    'the call has ended',
  ),
  ...(['operatorsRace', 'isolatedAndRace'] as const).flatMap((row) =>
    exclude(row, ['answered'], 'once', 'the call has ended'),
  ),
];

/** All cells that are proved or do not apply; the others are not proved. */
export const FAULT_CASES: readonly FaultCase[] = [
  ...CALL_CASES,
  ...PAIR_CASES,
  ...CONTROL_CASES,
  ...SEPARATED_PAIR_CASES,
  ...CHANGE_CASES,
  ...EXCLUDED_CASES,
];
