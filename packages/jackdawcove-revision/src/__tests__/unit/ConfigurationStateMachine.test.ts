import type {ConfigurationChange} from '../../index.js';

import t from 'tap';

import {ConfigurationStateMachine} from '../../index.js';

const CHANGE_COUNT = 500;

function createChange(
  changeIdentifier: string,
  expectedRevision: number,
  documentText = changeIdentifier,
): ConfigurationChange {
  const author = `author of ${changeIdentifier}`;
  const reason = 'because';
  return {author, changeIdentifier, documentText, expectedRevision, reason};
}

function apply(
  machine: ConfigurationStateMachine,
  change: ConfigurationChange,
): string {
  machine.apply({acceptedAt: 7, change, kind: 'change'});
  const outcome = machine.findOutcome(change);
  return outcome?.kind === 'refused'
    ? `${outcome.failure.result}: ${outcome.failure.detail}`
    : `revision ${String(outcome?.kind === 'configurationAccepted' && outcome.record.revision)}`;
}

function restoreFromSnapshot(
  machine: ConfigurationStateMachine,
): ConfigurationStateMachine {
  const restored = new ConfigurationStateMachine();
  restored.restore(machine.createSnapshot());
  return restored;
}

t.test('outcomes of changes', async (t) => {
  const cases: {change: ConfigurationChange; expected: string; name: string}[] =
    [
      {
        change: createChange('a', 0),
        expected: 'revision 1',
        name: 'first change',
      },
      {
        change: createChange('b', 1),
        expected: 'revision 2',
        name: 'second change',
      },
      {
        change: createChange('a', 0),
        expected: 'revision 1',
        name: 'resend returns the first result',
      },
      {
        change: createChange('a', 0, 'other'),
        expected: 'changeIdentifierReused: a',
        name: 'reused identifier with a different text',
      },
      {
        change: createChange('a', 2),
        expected: 'changeIdentifierReused: a',
        name: 'reused identifier with a different revision',
      },
      {
        change: createChange('c', 1),
        expected:
          'revisionConflict: revision 2 is change b of author of b; the current revision is 2',
        name: 'outdated expected revision, the accepted change is named',
      },
      {
        change: createChange('d', 9),
        expected: 'revisionConflict: the current revision is 2',
        name: 'expected revision above the current one',
      },
      {
        change: createChange('e', 2, 'a'),
        expected: 'revision 3',
        name: 'an older text becomes a new revision',
      },
      {
        change: createChange('c', 1),
        expected:
          'revisionConflict: revision 2 is change b of author of b; the current revision is 2',
        name: 'resend of a refused change returns the first result',
      },
    ];
  let machine = new ConfigurationStateMachine();
  for (const {change, expected, name} of cases) {
    t.equal(apply(machine, change), expected, name);
    machine = restoreFromSnapshot(machine);
    t.equal(apply(machine, change), expected, `${name}, after a snapshot`);
  }
  t.same(
    machine
      .getHistory()
      .map(({changeIdentifier, revision}) => [revision, changeIdentifier]),
    [
      [3, 'e'],
      [2, 'b'],
      [1, 'a'],
    ],
  );
  t.equal(machine.getRecord(1)?.documentText, 'a');
  t.match(machine.getConfiguration(), {
    acceptedAt: 7,
    author: 'author of e',
    reason: 'because',
    revision: 3,
  });
});

t.test('500 changes', async (t) => {
  let machine = new ConfigurationStateMachine();
  for (let number = 0; number < CHANGE_COUNT; number += 1) {
    apply(machine, createChange(`change-${String(number)}`, number));
  }
  machine = restoreFromSnapshot(machine);
  t.equal(machine.getRevision(), CHANGE_COUNT);
  t.equal(apply(machine, createChange('change-0', 0)), 'revision 1');
  t.equal(machine.getHistory().length, CHANGE_COUNT);
  t.equal(machine.getRecord(1), undefined, 'the oldest text is not kept');
});

t.test('outcomes of voter changes', async (t) => {
  const cases = [
    {expected: ['a', 'b', 'c'], voters: ['c', 'a', 'b']},
    {expected: 'unsafeVoterChange', voters: ['a', 'b']},
    {expected: 'unsafeVoterChange', voters: ['a', 'b', 'b']},
    {expected: 'unsafeVoterChange', voters: []},
    {expected: ['a', 'b', 'c', 'd', 'e'], voters: ['a', 'b', 'c', 'd', 'e']},
  ];
  for (const [position, {expected, voters}] of cases.entries()) {
    const machine = new ConfigurationStateMachine();
    const changeIdentifier = `change-${String(position)}`;
    const change = {author: 'a', changeIdentifier, reason: '', voters};
    machine.apply({acceptedAt: 0, change, kind: 'voterChange'});
    const outcome = machine.findOutcome(change);
    const actual =
      outcome?.kind === 'refused'
        ? outcome.failure.result
        : machine.getVoterTarget();
    t.same(actual, expected, voters.join(' '));
  }
});

t.test('only the next version of ledger assignments applies', async (t) => {
  const machine = new ConfigurationStateMachine();
  for (const [version, content] of [
    [1, 'x'],
    [1, 'y'],
    [3, 'z'],
  ] as const) {
    machine.apply({content, kind: 'ledgerAssignments', version});
  }
  t.same(restoreFromSnapshot(machine).getLedgerAssignments(), {
    content: 'x',
    version: 1,
  });
});
