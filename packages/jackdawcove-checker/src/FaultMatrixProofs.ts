/** Tests that the cells of the fault matrix name. */

import type {FaultProof} from './FaultMatrix.js';

function at(packageName: string, file: string, test: string): FaultProof {
  const folder = `jackdawcove-${packageName}/src/__tests__/unit`;
  return {file: `${folder}/${file}.test.ts`, test};
}

/** Seeded runs of claims under faults. */
export const LEDGER_HISTORIES = at(
  'ledger',
  'ClaimHistory',
  'seeded histories contain no violation',
);

/** Tests of faults that meet a call. */
export const CALL_FAULT_PROOFS = {
  coldStart: at(
    'admission',
    'AdmissionController',
    'a cold start ramps the limit up to the slots',
  ),
  control: at(
    'daemon',
    'FaultMatrixControl',
    'a control VM is isolated at every step',
  ),
  crash: at(
    'daemon',
    'FaultMatrixStops',
    'the backend server crashes at every step',
  ),
  crashMessages: at(
    'call',
    'CrashRequest',
    'a deadly request takes down at most two',
  ),
  crashTwo: at('daemon', 'CallPath', 'a crash request takes down at most two'),
  leaving: at('call', 'ServerSide', 'a leaving instance gets nothing new'),
  lying: at('call', 'ServerSide', 'health hints that lie change nothing'),
  shedding: at(
    'admission',
    'AdmissionController',
    'urgent is shed only when nothing lower waits or runs',
  ),
  silent: at(
    'daemon',
    'FaultMatrixCalls',
    'open connections go silent at every step',
  ),
  silentOpen: at('daemon', 'SilentLinks', 'open sessions that go silent'),
  silentSession: at(
    'session',
    'LostSessions',
    'a silent session is replaced and its calls resolved',
  ),
  stop: at(
    'daemon',
    'FaultMatrixStops',
    'the serving daemon stops as planned at every step',
  ),
  stopReads: at('daemon', 'CallPath', 'a planned stop cuts off nothing'),
  zone: at(
    'daemon',
    'FaultMatrixCalls',
    'an availability zone is cut off at every step',
  ),
  zoneServes: at(
    'daemon',
    'SilentLinks',
    'an availability zone cut off goes on serving',
  ),
} as const;

/** Tests of pairs of faults that meet a call. */
export const CALL_PAIR_PROOFS = {
  silentAndCrash: at(
    'daemon',
    'FaultMatrixTwice',
    'open connections go silent before the backend server crashes',
  ),
  silentAndStop: at(
    'daemon',
    'FaultMatrixPairs',
    'open connections go silent as the serving daemon stops',
  ),
  silentTwice: at(
    'daemon',
    'FaultMatrixTwice',
    'open connections go silent twice',
  ),
  zoneCutAndCrash: at(
    'daemon',
    'FaultMatrixPairs',
    'a zone is cut off as its backend server crashes',
  ),
} as const;

/** Tests of faults that meet a configuration change. */
export const CHANGE_FAULT_PROOFS = {
  anyDaemon: at(
    'daemon',
    'registerControl',
    'a change through any daemon comes into force on all',
  ),
  isolated: at('revision', 'LostLeader', 'isolated for long and back'),
  manyChanges: at('revision', 'ConfigurationStateMachine', '500 changes'),
  noLeader: at(
    'daemon',
    'registerControl',
    'a daemon without a leader in reach',
  ),
  restart: at(
    'daemon',
    'registerControl',
    '500 changes survive a restart of everything',
  ),
  secondLost: at(
    'revision',
    'LostLeader',
    'a second voter is lost right after the first was repaired',
  ),
  seeded: at('revision', 'VoterCluster', 'seeded runs under faults'),
  zone: at(
    'revision',
    'RevisionSpread',
    'a cut-off zone keeps its record and catches up',
  ),
} as const;
