import type {ReplicaSet} from '../../index.js';

import t from 'tap';

import {ReplicaGroup} from '../ReplicaGroup.js';

const NAMES = ['a', 'b', 'c', 'd'];

t.test('a replacement needs neither the old nor the new voter', async (t) => {
  const cases = [
    {expected: true, name: 'both of the two are lost', reachable: ['b', 'c']},
    {expected: true, name: 'another voter is lost', reachable: ['c', 'a', 'd']},
    {expected: false, name: 'two others are lost', reachable: ['c', 'a']},
    {expected: false, name: 'old voter and another', reachable: ['c', 'd']},
  ];
  for (const {expected, name, reachable} of cases) {
    const group = new ReplicaGroup({names: NAMES});
    group.elect('c', ['a', 'b', 'd']);
    group.deliver(NAMES);
    const voters = NAMES.map((id) => group.get(id).replica);
    const replaced = {
      learners: [],
      replacing: {added: 'd', removed: 'a'},
      voters,
    };
    const {raft} = group.get('c');
    group.run('c', raft.proposeReplicaSet(replaced, group.now));
    group.deliver(NAMES);
    group.messages = [];
    group.elect('c', reachable);
    group.deliver(reachable);
    t.equal(group.get('c').raft.isReadyLeader(), expected, name);
  }
});

t.test('a replaced voter is removed before any other step', async (t) => {
  const group = new ReplicaGroup({names: NAMES});
  group.elect('c', ['a', 'b', 'd']);
  group.deliver(NAMES);
  const voters = NAMES.map((id) => group.get(id).replica);
  const replacing = {added: 'd', removed: 'a'};
  const {raft} = group.get('c');
  const propose = (next: ReplicaSet) => {
    group.run('c', raft.proposeReplicaSet(next, group.now));
    group.deliver(NAMES);
  };
  propose({learners: [], replacing, voters});
  const cases = [
    {expected: 'a voter is being replaced', kept: ['a', 'c', 'd']},
    {expected: 'a voter is being replaced', kept: ['a', 'b', 'c', 'd']},
    {expected: undefined, kept: ['b', 'c', 'd']},
  ];
  for (const {expected, kept} of cases) {
    const reason = raft.findReplicaSetRefusal({
      learners: [],
      voters: voters.filter(({identity}) => kept.includes(identity)),
    });
    t.equal(reason, expected, kept.join(' '));
  }
});
