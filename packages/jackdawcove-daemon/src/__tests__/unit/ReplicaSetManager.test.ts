import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {ControlFleet} from '../ControlFleet.js';

/** Time in which a successor has to be able to replace its predecessor. */
const CATCH_UP_MILLISECONDS = 4_000;
const SUCCESSOR_DELAY_TICKS = 20;

function createChange(number: number) {
  return {
    author: 'operator',
    changeIdentifier: `change-${String(number)}`,
    documentText: `[defaults]\n; ${String(number)}\n`,
    expectedRevision: number - 1,
    reason: 'test',
  };
}

function getVoters(fleet: ControlFleet, name: string): Promise<string> {
  const {service} = fleet.getControl(name);
  return fleet
    .runUntilSettled(service.getStatus())
    .then(({voters}) => voters.join(' '));
}

async function runUntilVoters(
  fleet: ControlFleet,
  name: string,
  voters: string,
): Promise<number> {
  const startedAt = fleet.getTime();
  const limit = startedAt + 2 * CATCH_UP_MILLISECONDS;
  while ((await getVoters(fleet, name)) !== voters && fleet.getTime() < limit) {
    await fleet.runFor(1);
  }
  return fleet.getTime() - startedAt;
}

t.test('machines that are lost for good are replaced in turn', async (t) => {
  const fleet = new ControlFleet(['a-1', 'b-1', 'c-1'], ['d-1']);
  await fleet.startAll();
  const {service} = fleet.getControl('d-1');
  const rows = [
    {lost: 'c-1', successor: 'c-2', voters: 'a-1 b-1 c-2'},
    {lost: 'a-1', successor: 'a-2', voters: 'a-2 b-1 c-2'},
    {lost: 'b-1', successor: 'b-2', voters: 'a-2 b-2 c-2'},
  ];
  for (const [position, {lost, successor, voters}] of rows.entries()) {
    const change = createChange(position + 1);
    const result = await fleet.runUntilSettled(service.propose(change));
    t.ok(result.isOk, `change before the loss of ${lost}`);
    fleet.stop(lost);
    await fleet.runFor(SUCCESSOR_DELAY_TICKS);
    await fleet.addVoter(successor);
    const duration = await runUntilVoters(fleet, 'd-1', voters);
    t.ok(
      duration <= CATCH_UP_MILLISECONDS,
      `${successor} votes after ${String(duration)} ms`,
    );
  }
  const last = createChange(rows.length + 1);
  const result = await fleet.runUntilSettled(service.propose(last));
  t.equal(result.isOk && result.value.revision, rows.length + 1);
  const read = await fleet.runUntilSettled(service.read(1));
  t.equal(read.isOk && read.value.changeIdentifier, 'change-1');
  fleet.close();
});

t.test('the first change waits for the disks that may be lost', async (t) => {
  const fleet = new ControlFleet(['a-1', 'b-1', 'c-1'], ['g-1'], {
    faultTolerance: 2,
    standbys: ['a-2', 'd-1', 'e-1', 'f-1'],
  });
  await fleet.startAll();
  const {service} = fleet.getControl('g-1');
  const first = await fleet.runUntilSettled(service.propose(createChange(1)));
  t.ok(first.isOk, 'the change is accepted');
  t.equal(await getVoters(fleet, 'g-1'), 'a-1 b-1 c-1 d-1 e-1');
  for (const name of ['a-1', 'b-1']) {
    fleet.stop(name);
    fleet.files.emptyFolder(fleet.getDataFolder(name));
  }
  const read = await fleet.runUntilSettled(service.read());
  t.equal(read.isOk && read.value.revision, 1, 'two disks lost at once');
  fleet.close();
});

t.test('a replaced voter that comes back is a standby', async (t) => {
  const fleet = new ControlFleet(['a-1', 'b-1', 'c-1'], ['g-1'], {
    standbys: ['d-1'],
  });
  await fleet.startAll();
  const {service} = fleet.getControl('g-1');
  await fleet.runUntilSettled(service.propose(createChange(1)));
  fleet.stop('c-1');
  await runUntilVoters(fleet, 'g-1', 'a-1 b-1 d-1');
  await fleet.start('c-1');
  await fleet.runFor(2 * SUCCESSOR_DELAY_TICKS);
  t.equal(await getVoters(fleet, 'g-1'), 'a-1 b-1 d-1');
  fleet.stop('d-1');
  const duration = await runUntilVoters(fleet, 'g-1', 'a-1 b-1 c-1');
  t.ok(duration <= CATCH_UP_MILLISECONDS, 'it votes again when needed');
  const second = await fleet.runUntilSettled(service.propose(createChange(2)));
  t.equal(second.isOk && second.value.revision, 2);
  fleet.close();
});

const LOSSES = [
  {faultTolerance: 1, standbys: ['d-1'], voters: 3},
  {faultTolerance: 2, standbys: ['a-2', 'd-1', 'e-1', 'f-1'], voters: 5},
];

/** Returns all combinations of `count` names. */
function combine(names: readonly string[], count: number): string[][] {
  if (count === 0) {
    return [[]];
  }
  return names.flatMap((name, index) =>
    combine(names.slice(index + 1), count - 1).map((rest) => [name, ...rest]),
  );
}

for (const {faultTolerance, standbys, voters} of LOSSES) {
  for (const namesVotersOnce of [true, false]) {
    t.test(
      `an acknowledged change survives ${String(faultTolerance)} lost disks while all other machines lose power, ${namesVotersOnce ? 'voters named once' : 'voters always named'}`,
      async (t) => {
        const names = ['a-1', 'b-1', 'c-1', 'd-1', 'e-1'].slice(0, voters);
        for (const [seed, lost] of combine(names, faultTolerance).entries()) {
          const randomNumber = createSeededRandom(seed + 1);
          const fleet = new ControlFleet(['a-1', 'b-1', 'c-1'], ['g-1'], {
            faultTolerance,
            namesVotersOnce,
            standbys,
          });
          await fleet.startAll();
          for (const number of [1, 2]) {
            const {service} = fleet.getControl('g-1');
            await fleet.runUntilSettled(service.propose(createChange(number)));
          }
          for (const {name} of fleet.nodes) {
            fleet.stop(name);
          }
          fleet.files.crash(randomNumber);
          for (const name of lost) {
            fleet.files.emptyFolder(fleet.getDataFolder(name));
            await fleet.start(name);
          }
          await fleet.runFor(
            Math.floor(randomNumber() * SUCCESSOR_DELAY_TICKS),
          );
          for (const {control, name} of fleet.nodes) {
            if (control === undefined) {
              await fleet.start(name);
            }
          }
          const {service} = fleet.getControl('g-1');
          const read = await fleet.runUntilSettled(service.read());
          t.equal(read.isOk && read.value.revision, 2, `lost: ${lost.join()}`);
          const third = await fleet.runUntilSettled(
            service.propose(createChange(3)),
          );
          t.equal(third.isOk && third.value.revision, 3, 'changes go on');
          fleet.close();
        }
      },
    );
  }
}
