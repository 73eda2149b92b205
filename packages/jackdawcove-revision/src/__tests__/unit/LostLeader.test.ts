import type {SimulatedVoter} from '../SimulatedVoter.js';

import t from 'tap';

import {VoterCluster} from '../VoterCluster.js';
import {NO_FAULTS} from '../VoterFaults.js';

const WARM_UP_MILLISECONDS = 2_500;
const STEP_MILLISECONDS = 10;
const STEPS = 60;
const OUTAGE_MILLISECONDS = 60_000;
const RUN_MILLISECONDS = 8_000;

type LoseVoter = (cluster: VoterCluster, voter: SimulatedVoter) => void;

const LOSSES: {lose: LoseVoter; name: string}[] = [
  {
    lose: (cluster, voter) => {
      cluster.crash(voter, 0);
    },
    name: 'restarted immediately',
  },
  {
    lose: (cluster, voter) => {
      cluster.crash(voter, OUTAGE_MILLISECONDS);
    },
    name: 'stopped for a long time',
  },
  {
    lose: (cluster, voter) => {
      cluster.isolate(voter, OUTAGE_MILLISECONDS);
    },
    name: 'isolated for a long time, then reconnected',
  },
  {
    lose: (cluster, voter) => {
      voter.pausedUntil = cluster.now + RUN_MILLISECONDS / 2;
    },
    name: 'paused',
  },
  {
    lose: (cluster, voter) => {
      cluster.crash(voter, 0);
      voter.wipe();
    },
    name: 'restarted with an empty disk',
  },
];

t.test('the leader is lost at different steps of a run', async (t) => {
  for (const {lose, name} of LOSSES) {
    let accepted = 0;
    for (let step = 0; step < STEPS; step += 1) {
      const cluster = new VoterCluster({faults: NO_FAULTS, seed: 5});
      cluster.runFor(
        WARM_UP_MILLISECONDS + step * STEP_MILLISECONDS,
        () => undefined,
      );
      const leader = cluster.getLeader();
      if (leader !== undefined) {
        lose(cluster, leader);
      }
      const before = cluster.getAcceptedCount();
      cluster.runFor(RUN_MILLISECONDS, () => undefined);
      accepted += cluster.getAcceptedCount() > before ? 1 : 0;
      const violations = cluster.heal();
      if (violations.length > 0) {
        t.fail(`step ${String(step)}: ${violations.join('; ')}`);
      }
    }
    t.equal(accepted, STEPS, `${name}: changes are accepted after each loss`);
  }
});

t.test(
  'a second voter is lost right after the first was repaired',
  async (t) => {
    for (let step = 0; step < STEPS; step += 1) {
      const cluster = new VoterCluster({faults: NO_FAULTS, seed: 5});
      cluster.runFor(WARM_UP_MILLISECONDS, () => undefined);
      const followers = cluster.voters.filter(
        (voter) => voter !== cluster.getLeader(),
      );
      const [first, second] = followers;
      if (first === undefined || second === undefined) {
        return;
      }
      cluster.crash(first, step * STEP_MILLISECONDS);
      first.wipe();
      const isRepaired = () => first.isUp && cluster.hasAllVoterDisks();
      for (let turn = 0; turn < STEPS * STEPS && !isRepaired(); turn += 1) {
        cluster.runFor(STEP_MILLISECONDS, () => undefined);
      }
      cluster.crash(second, OUTAGE_MILLISECONDS);
      const before = cluster.getAcceptedCount();
      cluster.runFor(RUN_MILLISECONDS, () => undefined);
      if (cluster.getAcceptedCount() === before) {
        t.fail(`step ${String(step)}: no change was accepted`);
      }
      t.same(cluster.heal(), [], `step ${String(step)}`);
    }
  },
);
