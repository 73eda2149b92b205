import type {ConfigurationChange} from '../../index.js';

import t from 'tap';

import {ConfigurationStateMachine} from '../../index.js';

type Labels = NonNullable<ConfigurationChange['labels']>;

function createChange(
  changeIdentifier: string,
  labels: Labels,
): ConfigurationChange {
  return {
    author: 'operator',
    changeIdentifier,
    documentText: `text of ${changeIdentifier}`,
    expectedRevision: 0,
    labels,
    reason: '',
  };
}

const FIRST = createChange('first', {expected: 0, next: 5});
const SECOND = createChange('second', {expected: 5, next: 9});

type Case = {
  readonly expected: string;
  readonly name: string;
  readonly sent: readonly ConfigurationChange[];
};

const CASES: readonly Case[] = [
  {expected: 'revision 1', name: 'the first change', sent: [FIRST]},
  {
    expected: 'revision 2',
    name: 'labels need not be consecutive',
    sent: [FIRST, SECOND],
  },
  {
    expected: 'revision 1',
    name: 'a resend after a later change',
    sent: [FIRST, SECOND, FIRST],
  },
  {
    expected: 'revisionConflict',
    name: 'a second change that expects the same label',
    sent: [FIRST, SECOND, createChange('concurrent', {expected: 5, next: 9})],
  },
  {
    expected: 'revisionConflict',
    name: 'a resend of a refused change stays refused',
    sent: [
      FIRST,
      SECOND,
      createChange('concurrent', {expected: 5, next: 7}),
      createChange('concurrent', {expected: 5, next: 7}),
    ],
  },
  {
    expected: 'invalidConfiguration',
    name: 'a label that does not increase',
    sent: [FIRST, createChange('same', {expected: 5, next: 5})],
  },
];

for (const {expected, name, sent} of CASES) {
  t.test(name, async (t) => {
    const machine = new ConfigurationStateMachine();
    for (const change of sent) {
      machine.apply({acceptedAt: 7, change, kind: 'change'});
    }
    const outcome = machine.findOutcome(sent.at(-1) as ConfigurationChange);
    const actual =
      outcome?.kind === 'configurationAccepted'
        ? `revision ${String(outcome.record.revision)}`
        : outcome?.kind === 'refused' && outcome.failure.result;
    t.equal(actual, expected);
  });
}

t.test('the label survives a snapshot', async (t) => {
  const machine = new ConfigurationStateMachine();
  machine.apply({acceptedAt: 7, change: FIRST, kind: 'change'});
  const restored = new ConfigurationStateMachine();
  restored.restore(machine.createSnapshot());
  restored.apply({acceptedAt: 8, change: SECOND, kind: 'change'});
  t.equal(restored.findOutcome(SECOND)?.kind, 'configurationAccepted');
});
