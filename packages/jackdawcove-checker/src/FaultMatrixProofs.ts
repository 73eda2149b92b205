/** Lists the tests that the cells of the fault matrix cite. */

import type {FaultProof} from './FaultMatrix.js';

function citeTest(packageName: string, file: string, test: string): FaultProof {
  const folder = `jackdawcove-${packageName}/src/__tests__/unit`;
  return {file: `${folder}/${file}.test.ts`, test};
}

/** Test of seeded runs of claims under faults. */
export const LEDGER_HISTORIES = citeTest(
  'ledger',
  'ClaimHistory',
  'seeded histories contain no violation',
);

/** Tests of faults that affect a call. */
export const CALL_FAULT_PROOFS = {
  coldStart: citeTest(
    'admission',
    'AdmissionController',
    'a cold start ramps the limit up to the slots',
  ),
  control: citeTest(
    'daemon',
    'FaultMatrixControl',
    'a control VM is isolated at every step',
  ),
  crash: citeTest(
    'daemon',
    'FaultMatrixStops',
    'the backend server crashes at every step',
  ),
  crashMessages: citeTest(
    'call',
    'CrashRequest',
    'a crash request causes at most two crashes',
  ),
  crashTwo: citeTest(
    'daemon',
    'CallPath',
    'a crash request stops at most two backend servers',
  ),
  draining: citeTest(
    'call',
    'ServerSide',
    'refuses an attempt after a drain has started',
  ),
  healthHints: citeTest(
    'call',
    'ServerSide',
    'wrong health hints have no effect',
  ),
  shedding: citeTest(
    'admission',
    'AdmissionController',
    'urgent requests are shed only when nothing of lower importance is queued or in flight',
  ),
  silent: citeTest(
    'daemon',
    'FaultMatrixCalls',
    'open connections go silent at every step',
  ),
  silentLinks: citeTest(
    'daemon',
    'SilentLinks',
    'open sessions that go silent',
  ),
  silentSession: citeTest(
    'session',
    'LostSessions',
    'a silent session is replaced and its calls are resolved',
  ),
  stop: citeTest(
    'daemon',
    'FaultMatrixStops',
    'the serving daemon stops as planned at every step',
  ),
  stopReads: citeTest(
    'daemon',
    'CallPath',
    'no read fails during a planned stop of a daemon',
  ),
  zoneCutOff: citeTest(
    'daemon',
    'FaultMatrixCalls',
    'an availability zone is cut off at every step',
  ),
  zoneCutOffServes: citeTest(
    'daemon',
    'SilentLinks',
    'an isolated availability zone keeps serving reads',
  ),
} as const;

/** Tests of pairs of faults that affect a call. */
export const CALL_PAIR_PROOFS = {
  silentAndCrash: citeTest(
    'daemon',
    'FaultMatrixTwice',
    'open connections go silent before the backend server crashes',
  ),
  silentAndStop: citeTest(
    'daemon',
    'FaultMatrixPairs',
    'open connections go silent as the serving daemon stops',
  ),
  silentTwice: citeTest(
    'daemon',
    'FaultMatrixTwice',
    'open connections go silent twice',
  ),
  zoneCutAndCrash: citeTest(
    'daemon',
    'FaultMatrixPairs',
    'a zone is cut off as its backend server crashes',
  ),
} as const;

/** Tests of faults that affect a configuration change. */
export const CHANGE_FAULT_PROOFS = {
  anyDaemon: citeTest(
    'daemon',
    'registerControl',
    'a change sent to any daemon is applied on all daemons',
  ),
  isolated: citeTest(
    'revision',
    'LostLeader',
    'isolated for a long time, then reconnected',
  ),
  manyChanges: citeTest('revision', 'ConfigurationStateMachine', '500 changes'),
  noLeader: citeTest(
    'daemon',
    'registerControl',
    'a daemon that cannot reach a leader keeps its revision',
  ),
  restart: citeTest(
    'daemon',
    'registerControl',
    '500 changes survive a restart of all daemons',
  ),
  secondLost: citeTest(
    'revision',
    'LostLeader',
    'a second voter is lost right after the first was repaired',
  ),
  seeded: citeTest('revision', 'VoterCluster', 'seeded runs under faults'),
  zoneCutOff: citeTest(
    'revision',
    'RevisionSpread',
    'an isolated zone keeps its record and catches up after reconnecting',
  ),
} as const;
