import type {RaftMessage, RaftRules, Replica} from '../../index.js';

import t from 'tap';

import {ReplicaGroup} from '../ReplicaGroup.js';

const THREE_REPLICAS = ['a', 'b', 'c'];
const FIVE_REPLICAS = ['a', 'b', 'c', 'd', 'e'];

function createGroup(
  names: readonly string[] = THREE_REPLICAS,
  rules: Partial<RaftRules> = {},
): ReplicaGroup {
  return new ReplicaGroup({names, rules});
}

function electLeader(
  group: ReplicaGroup,
  name: string,
  followers: string[],
): void {
  group.elect(name, followers);
  group.deliver([name, ...followers]);
}

function propose(group: ReplicaGroup, name: string, command: string): void {
  group.run(name, group.get(name).raft.propose(command, group.now));
}

function listCommands(group: ReplicaGroup, name: string): unknown[] {
  return group
    .get(name)
    .committed.flatMap(({content}) =>
      content.kind === 'command' ? [content.command] : [],
    );
}

function hasEffect(group: ReplicaGroup, name: string, kind: string): boolean {
  return group.get(name).effects.some((effect) => effect.kind === kind);
}

function createVoteRequest(
  from: string,
  to: string,
  term: number,
): RaftMessage {
  return {
    from: {daemon: from, identity: from},
    isPreVote: false,
    isTransfer: false,
    kind: 'voteRequest',
    lastIndex: 1,
    lastTerm: 1,
    term,
    to,
  };
}

t.test('a vote survives a restart', async (t) => {
  const cases = [
    {
      candidate: 'c',
      expected: false,
      isVoteLost: false,
      name: 'another candidate',
    },
    {
      candidate: 'a',
      expected: true,
      isVoteLost: false,
      name: 'the same candidate',
    },
    {
      candidate: 'c',
      expected: true,
      isVoteLost: true,
      name: 'another candidate, when the vote was not persisted',
    },
  ];
  for (const {candidate, expected, isVoteLost, name} of cases) {
    const group = createGroup();
    const voter = group.get('b');
    group.run(
      'b',
      voter.raft.receive(createVoteRequest('a', 'b', 2), group.now),
    );
    const {disk} = voter;
    voter.disk = isVoteLost
      ? {...disk, hardState: {...disk.hardState, vote: undefined}}
      : disk;
    group.restart('b');
    group.run(
      'b',
      voter.raft.receive(createVoteRequest(candidate, 'b', 2), group.now),
    );
    const answer = group.messages.at(-1);
    t.equal(answer?.kind === 'voteAnswer' && answer.isGranted, expected, name);
  }
});

t.test('an entry of an older term is not committed on its own', async (t) => {
  const cases = [
    {expected: [], name: 'with the commit rule', rules: {}},
    {
      expected: ['x'],
      name: 'without the commit rule',
      rules: {mayCommit: () => true},
    },
  ];
  for (const {expected, name, rules} of cases) {
    // Figure 8 of the Raft paper: e has an entry of a newer term at the index of x.
    const group = createGroup(FIVE_REPLICAS, rules);
    electLeader(group, 'a', ['b', 'c', 'd', 'e']);
    propose(group, 'a', 'x');
    group.deliver(['a', 'b'], ({kind}) => kind === 'appendRequest');
    group.messages = [];
    group.elect('e', ['c', 'd']);
    group.messages = [];
    group.elect('a', ['b', 'c', 'd']);
    const holdsCommand = (member: string) =>
      group
        .get(member)
        .disk.entries.some(({content}) => content.kind === 'command');
    group.deliver(
      ['a', 'c', 'd'],
      ({kind, to}) => kind !== 'appendRequest' || !holdsCommand(to),
    );
    t.ok(
      holdsCommand('c') && holdsCommand('d'),
      `${name}: a majority holds the entry`,
    );
    t.same(listCommands(group, 'a'), expected, name);
    group.messages = [];
    group.elect('e', ['c', 'd']);
    group.deliver(['c', 'd', 'e']);
    t.same(
      listCommands(group, 'e'),
      [],
      `${name}: the next leader drops the entry`,
    );
    t.ok(
      group.get('e').raft.isReadyLeader(),
      `${name}: the next leader commits its own entry`,
    );
  }
});

t.test('a leader steps down', async (t) => {
  const cases: {
    expected: string;
    name: string;
    run: (group: ReplicaGroup) => void;
  }[] = [
    {
      expected: 'lostLeadership',
      name: 'no quorum answers heartbeats',
      run: (group) => {
        for (let elapsed = 0; elapsed < 2_000; elapsed += 100) {
          group.now += 100;
          group.run('a', group.get('a').raft.tick(group.now));
        }
      },
    },
    {
      expected: 'readRefused',
      name: 'the process was paused before a read',
      run: (group) => {
        group.now += 1_001;
        group.run('a', group.get('a').raft.read('read', group.now));
      },
    },
    {
      expected: 'lostLeadership',
      name: 'the storage failed',
      run: (group) => {
        group.run('a', group.get('a').raft.failStorage(group.now));
      },
    },
    {
      expected: 'lostLeadership',
      name: 'leadership was transferred',
      run: (group) => {
        group.run('a', group.get('a').raft.transferLeadership(group.now));
        group.deliver(THREE_REPLICAS);
      },
    },
  ];
  for (const {expected, name, run} of cases) {
    const group = createGroup();
    electLeader(group, 'a', ['b', 'c']);
    t.ok(
      group.get('a').raft.isReadyLeader(),
      `${name}: is a ready leader before`,
    );
    run(group);
    t.ok(hasEffect(group, 'a', expected), name);
    t.notOk(
      group.get('a').raft.isReadyLeader(),
      `${name}: is not a ready leader after`,
    );
  }
});

t.test('a read waits for the answers of a majority', async (t) => {
  const cases = [
    {
      expected: true,
      name: 'one of two followers answers',
      reachable: ['a', 'b'],
    },
    {expected: false, name: 'no follower answers', reachable: ['a']},
  ];
  for (const {expected, name, reachable} of cases) {
    const group = createGroup();
    electLeader(group, 'a', ['b', 'c']);
    group.run('a', group.get('a').raft.read('read', group.now));
    group.deliver(reachable);
    t.equal(hasEffect(group, 'a', 'readReady'), expected, name);
  }
});

t.test('the quorum contact of a leader is the start of a round', async (t) => {
  const group = createGroup();
  const getContact = () => group.get('a').raft.getStatus().quorumContactAt;
  group.elect('a', ['b', 'c']);
  t.equal(getContact(), undefined, 'no entry of the term is committed');
  group.deliver(THREE_REPLICAS);
  const electedAt = group.now;
  t.equal(getContact(), electedAt);
  const tick = (): void => {
    group.now += 200;
    group.run('a', group.get('a').raft.tick(group.now));
  };
  tick();
  t.equal(getContact(), electedAt, 'no follower has answered yet');
  tick();
  group.now += 50;
  group.deliver(['a', 'b']);
  t.equal(getContact(), electedAt + 400, 'one follower is a majority');
  tick();
  group.deliver(['a']);
  t.equal(getContact(), electedAt + 400, 'followers are cut off');
  group.now += 1_100;
  tick();
  t.equal(getContact(), undefined, 'it does not lead any more');
});

t.test('a voter that was isolated does not disrupt the leader', async (t) => {
  const group = createGroup();
  electLeader(group, 'a', ['b', 'c']);
  const {term} = group.get('a').raft.getStatus();
  for (let elapsed = 0; elapsed < 20_000; elapsed += 100) {
    group.now += 100;
    for (const name of THREE_REPLICAS) {
      group.run(name, group.get(name).raft.tick(group.now));
    }
    group.deliver(['a', 'b']);
    group.messages = [];
  }
  group.run('a', group.get('a').raft.propose('x', group.now));
  group.deliver(THREE_REPLICAS);
  t.equal(group.get('a').raft.getStatus().term, term);
  t.equal(group.get('c').raft.getStatus().term, term);
  t.same(group.get('c').raft.getStatus().leader, group.get('a').replica);
});

t.test('an append answer is sent after its entries are durable', async (t) => {
  const group = createGroup();
  electLeader(group, 'a', ['b', 'c']);
  propose(group, 'a', 'x');
  const request = group.messages.find(
    ({kind, to}) => kind === 'appendRequest' && to === 'b',
  );
  const effects = request && group.get('b').raft.receive(request, group.now);
  const [persist, ...others] = effects ?? [];
  t.equal(persist?.kind, 'persist');
  t.same(
    others.filter(({kind}) => kind === 'send'),
    [],
    'no message before the persist completes',
  );
  const number = persist?.kind === 'persist' ? persist.number : 0;
  const released = group.get('b').raft.persisted(number, group.now);
  t.match(released, [
    {kind: 'send', message: {isSuccess: true, kind: 'appendAnswer'}},
  ]);
});

t.test('checks of replica set changes', async (t) => {
  const toReplica = (name: string): Replica => ({daemon: name, identity: name});
  const cases = [
    {
      expected: /more than one/,
      learners: [],
      name: 'two new voters at once',
      reachable: THREE_REPLICAS,
      voters: ['a', 'b', 'c', 'd', 'e'],
    },
    {
      expected: /not caught up/,
      learners: [],
      name: 'a new voter with an empty log',
      reachable: THREE_REPLICAS,
      voters: ['a', 'b', 'c', 'd'],
    },
    {
      expected: /no majority/,
      learners: [],
      name: 'no majority of the next voters is active',
      reachable: ['a', 'c'],
      voters: ['a', 'b'],
    },
    {
      expected: undefined,
      learners: ['d'],
      name: 'a new learner',
      reachable: THREE_REPLICAS,
      voters: THREE_REPLICAS,
    },
    {
      expected: undefined,
      learners: [],
      name: 'removal of a voter',
      reachable: THREE_REPLICAS,
      voters: ['a', 'b'],
    },
  ];
  for (const {expected, learners, name, reachable, voters} of cases) {
    const group = createGroup();
    electLeader(group, 'a', ['b', 'c']);
    for (let elapsed = 0; elapsed < 1_400; elapsed += 100) {
      group.now += 100;
      group.run('a', group.get('a').raft.tick(group.now));
      group.deliver(reachable);
      group.messages = [];
    }
    const reason = group.get('a').raft.findReplicaSetRefusal({
      learners: learners.map(toReplica),
      voters: voters.map(toReplica),
    });
    t[expected === undefined ? 'equal' : 'match'](reason, expected, name);
  }
});

t.test(
  'a voter whose removal is not committed may still win an election',
  async (t) => {
    const group = createGroup(['a', 'b', 'c', 'd']);
    electLeader(group, 'b', ['a', 'c', 'd']);
    const voters = ['a', 'c', 'd'].map((name) => group.get(name).replica);
    const {raft} = group.get('b');
    group.run('b', raft.proposeReplicaSet({learners: [], voters}, group.now));
    group.messages = [];
    // d is unreachable, so all three others must agree, and only b has the last
    // entry.
    group.elect('a', ['b', 'c']);
    t.notOk(
      group.get('a').raft.isReadyLeader(),
      'an older log does not win the election',
    );
    electLeader(group, 'b', ['a', 'c']);
    t.match(
      group.get('a').raft.getStatus().replicaSet,
      {voters},
      'the removal is committed',
    );
    t.not(group.get('a').raft.getStatus().leader, undefined);
  },
);
