import {MAXIMUM_DOCUMENT_LENGTH} from 'jackdawcove-revision';
import {createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {ControlFleet} from '../ControlFleet.js';

const VOTERS = ['a-1', 'b-1', 'c-1'];
const MANY_CHANGES = 500;
const LOSSES_PER_SEED = 3;
const MAXIMUM_LOSS_TICKS = 12;
const SEED_COUNT = 15;
const SETTLE_TICKS = 200;
/** Time within which operators expect an answer to a change. */
const ACKNOWLEDGEMENT_MILLISECONDS = 4_000;
const NON_VOTERS = ['d-1', 'd-2'];

function createChange(number: number, expectedRevision = number - 1) {
  return {
    author: 'operator',
    changeIdentifier: `change-${String(number)}`,
    documentText: `[defaults]\n; ${String(number)}\n`,
    expectedRevision,
    reason: 'test',
  };
}

async function startFleet(): Promise<ControlFleet> {
  const fleet = new ControlFleet(VOTERS, NON_VOTERS);
  await fleet.startAll();
  await fleet.runUntil(() =>
    fleet.nodes.every(
      ({control}) =>
        control?.service.isReady() && getLeader(fleet) !== undefined,
    ),
  );
  return fleet;
}

function getLeader(fleet: ControlFleet): string | undefined {
  return fleet.nodes.find(({control}) => control?.ledgerAssignments.isLeader())
    ?.name;
}

function isApplied(fleet: ControlFleet, revision: number): boolean {
  return fleet.nodes
    .filter(({control, isIsolated}) => control !== undefined && !isIsolated)
    .every(({control}) => control?.service.getApplied().revision === revision);
}

t.test('a change sent to any daemon is applied on all daemons', async (t) => {
  const fleet = await startFleet();
  for (const [position, {name}] of fleet.nodes.entries()) {
    const change = createChange(position + 1);
    const {service} = fleet.getControl(name);
    const result = await fleet.runUntilSettled(service.propose(change));
    t.equal(result.isOk && result.value.revision, position + 1, name);
    const resent = await fleet.runUntilSettled(service.propose(change));
    t.equal(resent.isOk && resent.value.revision, position + 1, 'resent');
  }
  const revision = fleet.nodes.length;
  t.ok(await fleet.runUntil(() => isApplied(fleet, revision)));
  const {service} = fleet.getControl('d-2');
  const status = await fleet.runUntilSettled(service.getStatus());
  t.match(status, {inForceCount: 5, isInForce: true, missing: [], revision});
  const history = await fleet.runUntilSettled(service.getHistory());
  t.equal(history.isOk && history.value.length, revision);
  const read = await fleet.runUntilSettled(service.read(2));
  t.equal(read.isOk && read.value.changeIdentifier, 'change-2');
  const conflicting = await fleet.runUntilSettled(
    service.propose({...createChange(9), expectedRevision: 3}),
  );
  t.equal(conflicting.isErr && conflicting.error.result, 'revisionConflict');
  t.match(
    conflicting.isErr && conflicting.error.detail,
    /revision 4 is change change-4 of operator/,
  );
  fleet.close();
});

t.test(
  'accepted changes survive a failover and a restart of all daemons',
  async (t) => {
    const fleet = await startFleet();
    await fleet.runUntilSettled(
      fleet.getControl('d-1').service.propose(createChange(1)),
    );
    const leader = getLeader(fleet) ?? '';
    fleet.stop(leader);
    const {service} = fleet.getControl('d-1');
    const second = await fleet.runUntilSettled(
      service.propose(createChange(2)),
    );
    t.equal(second.isOk && second.value.revision, 2, 'failover');
    const resent = await fleet.runUntilSettled(
      service.propose(createChange(1)),
    );
    t.equal(resent.isOk && resent.value.revision, 1, 'resent after failover');
    const status = await fleet.runUntilSettled(service.getStatus());
    t.match(status.missing, [{daemon: leader, reason: 'unreachable'}]);
    for (const {name} of fleet.nodes) {
      fleet.stop(name);
    }
    await fleet.startAll();
    t.ok(
      await fleet.runUntil(() => isApplied(fleet, 2)),
      'applied after the restart',
    );
    fleet.close();
  },
);

t.test(
  'a voter that lost its disk rejoins under a new identity and votes',
  async (t) => {
    const fleet = await startFleet();
    await fleet.runUntilSettled(
      fleet.getControl('d-1').service.propose(createChange(1)),
    );
    fleet.stop('c-1');
    fleet.files.emptyFolder(fleet.getDataFolder('c-1'));
    await fleet.start('c-1');
    await fleet.runUntil(() => isApplied(fleet, 1));
    await fleet.runFor(SETTLE_TICKS);
    fleet.stop('b-1');
    const {service} = fleet.getControl('d-1');
    const second = await fleet.runUntilSettled(
      service.propose(createChange(2)),
    );
    t.equal(
      second.isOk && second.value.revision,
      2,
      'accepted while another voter is stopped',
    );
    fleet.close();
  },
);

t.test('500 changes survive a restart of all daemons', async (t) => {
  const fleet = await startFleet();
  const leader = fleet.getControl(getLeader(fleet) ?? '');
  for (let number = 1; number <= MANY_CHANGES; number += 1) {
    await fleet.runUntilSettled(leader.service.propose(createChange(number)));
  }
  for (const {name} of fleet.nodes) {
    fleet.stop(name);
  }
  await fleet.startAll();
  await fleet.runUntil(() => isApplied(fleet, MANY_CHANGES));
  t.ok(isApplied(fleet, MANY_CHANGES), 'applied on all daemons');
  const {service} = fleet.getControl('d-1');
  const resent = await fleet.runUntilSettled(service.propose(createChange(1)));
  t.equal(
    resent.isOk && resent.value.revision,
    1,
    'resend of the first change',
  );
  fleet.close();
});

t.test(
  'revisions continue after all voters have lost their disks',
  async (t) => {
    const fleet = await startFleet();
    const {service} = fleet.getControl('d-1');
    await fleet.runUntilSettled(service.propose(createChange(1)));
    await fleet.runUntil(() => isApplied(fleet, 1));
    for (const name of VOTERS) {
      fleet.stop(name);
      fleet.files.emptyFolder(fleet.getDataFolder(name));
    }
    for (const name of VOTERS) {
      await fleet.start(name);
    }
    const second = await fleet.runUntilSettled(
      service.propose(createChange(2)),
    );
    t.equal(second.isOk && second.value.revision, 2, 'next revision accepted');
    t.ok(
      await fleet.runUntil(() => isApplied(fleet, 2)),
      'applied on all daemons',
    );
    fleet.close();
  },
);

t.test(
  'refuses unsafe changes of the voters and accepts a safe one',
  async (t) => {
    const origin = {author: 'operator', reason: 'test'};
    const cases = [
      {
        expected: 'unsafeVoterChange',
        name: 'an even number',
        voters: ['a-1', 'b-1'],
      },
      {
        expected: 'unsafeVoterChange',
        name: 'a daemon that runs no replica',
        voters: ['a-1', 'b-1', 'd-1'],
      },
      {
        expected: 'unsafeVoterChange',
        name: 'no reachable majority',
        voters: ['a-1', 'y-1', 'z-1'],
      },
      {expected: undefined, name: 'the same voters', voters: VOTERS},
    ];
    const fleet = await startFleet();
    const {service} = fleet.getControl('d-2');
    for (const {expected, name, voters} of cases) {
      const change = {...origin, changeIdentifier: name, voters};
      const result = await fleet.runUntilSettled(service.changeVoters(change));
      t.equal(result.isErr ? result.error.result : undefined, expected, name);
    }
    fleet.close();
  },
);

t.test('a daemon that cannot reach a leader keeps its revision', async (t) => {
  const fleet = await startFleet();
  const {service} = fleet.getControl('d-1');
  await fleet.runUntilSettled(service.propose(createChange(1)));
  await fleet.runUntil(() => isApplied(fleet, 1));
  fleet.getNode('d-1').isIsolated = true;
  t.equal(service.getApplied().revision, 1, 'serves the applied revision');
  const unanswered = await fleet.runUntilSettled(
    service.propose(createChange(2)),
  );
  t.equal(unanswered.isErr && unanswered.error.result, 'changeOutcomeUnknown');
  const tooLong = {
    ...createChange(3),
    documentText: 'x'.repeat(MAXIMUM_DOCUMENT_LENGTH + 1),
  };
  const refused = await fleet.runUntilSettled(service.propose(tooLong));
  t.equal(refused.isErr && refused.error.result, 'payloadTooLarge');
  fleet.getNode('d-1').isIsolated = false;
  const second = await fleet.runUntilSettled(service.propose(createChange(2)));
  t.equal(second.isOk && second.value.revision, 2, 'resent after reconnecting');
  fleet.close();
});

t.test(
  'the fleet accepts changes after the disk of the leader has filled up',
  async (t) => {
    const fleet = await startFleet();
    const diskFull = Object.assign(new Error('full'), {code: 'ENOSPC'});
    const folder = fleet.getDataFolder(getLeader(fleet) ?? '');
    fleet.files.injectFault = (_name, path) =>
      path.startsWith(folder) ? diskFull : undefined;
    const {service} = fleet.getControl('d-1');
    const result = await fleet.runUntilSettled(
      service.propose(createChange(1)),
    );
    t.equal(result.isOk && result.value.revision, 1);
    t.ok(
      await fleet.runUntil(() => isApplied(fleet, 1)),
      'applied on all daemons',
    );
    fleet.close();
  },
);

t.test('a change is acknowledged soon after the leader is lost', async (t) => {
  for (let seed = 0; seed < SEED_COUNT; seed += 1) {
    const fleet = await startFleet();
    await fleet.runFor(seed);
    const {service} = fleet.getControl('d-1');
    await fleet.runUntilSettled(service.propose(createChange(1)));
    fleet.stop(getLeader(fleet) ?? '');
    const startedAt = fleet.getTime();
    const second = await fleet.runUntilSettled(
      service.propose(createChange(2)),
    );
    const duration = fleet.getTime() - startedAt;
    t.equal(second.isOk && second.value.revision, 2, `run ${String(seed)}`);
    t.ok(duration <= ACKNOWLEDGEMENT_MILLISECONDS, `${String(duration)} ms`);
    fleet.close();
  }
});

t.test('a voter votes again once its disk takes writes again', async (t) => {
  const fleet = await startFleet();
  const diskFull = Object.assign(new Error('full'), {code: 'ENOSPC'});
  const failing = getLeader(fleet) ?? '';
  const folder = fleet.getDataFolder(failing);
  fleet.files.injectFault = (_name, path) =>
    path.startsWith(folder) ? diskFull : undefined;
  const {service} = fleet.getControl('d-1');
  await fleet.runUntilSettled(service.propose(createChange(1)));
  await fleet.runFor(SETTLE_TICKS);
  fleet.files.injectFault = () => undefined;
  await fleet.runFor(SETTLE_TICKS);
  fleet.stop(VOTERS.find((name) => name !== failing) ?? '');
  const second = await fleet.runUntilSettled(service.propose(createChange(2)));
  t.equal(second.isOk && second.value.revision, 2, 'its vote counts');
  const read = await fleet.runUntilSettled(service.read(1));
  t.equal(read.isOk && read.value.changeIdentifier, 'change-1');
  fleet.close();
});

t.test('an empty disk that is full at the start votes later', async (t) => {
  const fleet = await startFleet();
  const {service} = fleet.getControl('d-1');
  await fleet.runUntilSettled(service.propose(createChange(1)));
  fleet.stop('c-1');
  const folder = fleet.getDataFolder('c-1');
  fleet.files.emptyFolder(folder);
  const diskFull = Object.assign(new Error('full'), {code: 'ENOSPC'});
  fleet.files.injectFault = (name, path) =>
    name === 'write' && path.startsWith(folder) ? diskFull : undefined;
  await fleet.start('c-1');
  await fleet.runFor(SETTLE_TICKS);
  fleet.files.injectFault = () => undefined;
  await fleet.runFor(SETTLE_TICKS);
  fleet.stop('b-1');
  const second = await fleet.runUntilSettled(service.propose(createChange(2)));
  t.equal(second.isOk && second.value.revision, 2, 'its vote counts');
  const read = await fleet.runUntilSettled(service.read());
  t.equal(read.isOk && read.value.revision, 2);
  fleet.close();
});

t.test(
  'acknowledged changes survive power losses of the whole fleet',
  async (t) => {
    for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
      const randomNumber = createSeededRandom(seed);
      const fleet = await startFleet();
      let accepted = 0;
      for (let loss = 0; loss < LOSSES_PER_SEED; loss += 1) {
        const {service} = fleet.getControl('d-1');
        const first = accepted;
        void (async () => {
          for (let number = first + 1; number <= first + 5; number += 1) {
            const result = await service.propose(createChange(number));
            accepted = result.isOk ? number : accepted;
          }
        })();
        await fleet.runFor(Math.floor(randomNumber() * MAXIMUM_LOSS_TICKS));
        for (const {name} of fleet.nodes) {
          fleet.stop(name);
        }
        const acknowledged = accepted;
        fleet.files.crash(randomNumber);
        await fleet.startAll();
        await fleet.runUntil(() => getLeader(fleet) !== undefined);
        const reading = fleet.getControl('d-2').service.read();
        const read = await fleet.runUntilSettled(reading);
        const revision = read.isOk ? read.value.revision : 0;
        if (revision < acknowledged) {
          t.fail(
            `seed ${String(seed)}: revision ${String(acknowledged)} was lost`,
          );
        }
        accepted = revision;
      }
      fleet.close();
    }
    t.pass(`${String(SEED_COUNT * LOSSES_PER_SEED)} power losses`);
  },
);
