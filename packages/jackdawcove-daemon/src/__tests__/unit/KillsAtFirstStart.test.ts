/** Tests voters that end before the first replica set exists. */

import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {ControlFleet} from '../ControlFleet.js';

const VOTERS = ['a-1', 'b-1', 'c-1'];
const TICKS = [0, 1, 2, 3, 5, 8, 12, 20];
const PAUSE_TICKS = 6;

const KILLS: readonly {
  /** Whether the processes end before they have written anything. */
  readonly isEmptied?: boolean;
  readonly losesPower?: boolean;
  readonly name: string;
  readonly killed: readonly string[];
}[] = [
  ...VOTERS.map((voter) => ({killed: [voter], name: voter})),
  ...VOTERS.map((voter) => ({
    isEmptied: true,
    killed: [voter],
    name: `${voter}, which has not written anything,`,
  })),
  {
    isEmptied: true,
    killed: ['a-1', 'b-1'],
    name: 'two voters that have not written anything',
  },
  {killed: VOTERS, name: 'all voters'},
  {killed: VOTERS, losesPower: true, name: 'all voters, which lose power,'},
];

// Guards against a fleet that never accepts a configuration, because a process that was
// started again before the first replica set existed knew no initial voters (review/9).
for (const {isEmptied = false, killed, losesPower = false, name} of KILLS) {
  t.test(
    `the first replica set is formed after a kill of ${name}`,
    async (t) => {
      for (const ticks of TICKS) {
        const fleet = new ControlFleet(VOTERS, ['d-1'], {
          namesVotersOnce: true,
        });
        await fleet.startAll();
        await fleet.runFor(ticks);
        const isFormed = fleet.nodes.some(
          ({control}) =>
            (control?.getVoters().length ?? 0) > 0 &&
            control?.ledgerAssignments.isLeader() === true,
        );
        for (const voter of killed) {
          fleet.stop(voter);
          if (isEmptied && !isFormed) {
            fleet.files.emptyFolder(fleet.getDataFolder(voter));
          }
        }
        if (losesPower) {
          fleet.losePower(killed, createSeededRandom(ticks));
        }
        await fleet.runFor(PAUSE_TICKS);
        for (const voter of killed) {
          await fleet.start(voter);
        }
        const change = {
          author: 'operator',
          changeIdentifier: 'change-1',
          documentText: '[defaults]\n',
          expectedRevision: 0,
          reason: 'test',
        };
        let isAccepted = false;
        for (let attempt = 0; attempt < 5 && !isAccepted; attempt += 1) {
          const {service} = fleet.getControl('d-1');
          const proposed = service.propose(change);
          isAccepted = (await fleet.runUntilSettled(proposed)).isOk;
        }
        t.ok(isAccepted, `killed after ${String(ticks)} ticks`);
        fleet.close();
      }
    },
  );
}
