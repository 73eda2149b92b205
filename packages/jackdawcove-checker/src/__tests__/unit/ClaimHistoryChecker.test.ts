import type {ClaimRun, ClaimSend} from '../../ClaimHistoryChecker.js';

import t from 'tap';

import {ClaimHistoryChecker} from '../../ClaimHistoryChecker.js';

const SEND: ClaimSend = {
  content: 'crate of 12',
  key: 'k',
  number: 1,
  reported: {answer: 'order 7', at: 20, executed: 'yes'},
};
const RUN: ClaimRun = {
  answer: 'order 7',
  content: 'crate of 12',
  key: 'k',
  sendNumber: 1,
  startedAt: 10,
};

type Case = {
  readonly expected: readonly string[];
  readonly name: string;
  readonly runs: readonly ClaimRun[];
  readonly sends: readonly ClaimSend[];
};

const CASES: readonly Case[] = [
  {expected: [], name: 'one run, answered', runs: [RUN], sends: [SEND]},
  {
    expected: ['ranTwice'],
    name: 'two runs',
    runs: [RUN, {...RUN, sendNumber: 2}],
    sends: [SEND],
  },
  {
    expected: ['ranButReportedNotRun'],
    name: 'reported as not run after a run of another send',
    runs: [RUN],
    sends: [SEND, {...SEND, number: 2, reported: {at: 30, executed: 'no'}}],
  },
  {
    expected: ['ranButReportedNotRun'],
    name: 'reported as not run, run later by the same send',
    runs: [{...RUN, startedAt: 40}],
    sends: [{...SEND, reported: {at: 30, executed: 'no'}}],
  },
  {
    expected: [],
    name: 'reported as not run, run by a later send',
    runs: [{...RUN, sendNumber: 2, startedAt: 40}],
    sends: [
      {...SEND, reported: {at: 30, executed: 'no'}},
      {
        ...SEND,
        number: 2,
        reported: {answer: 'order 7', at: 50, executed: 'yes'},
      },
    ],
  },
  {
    expected: [],
    name: 'reported as not run, with other content than the run of the key',
    runs: [RUN],
    sends: [
      SEND,
      {...SEND, content: 'jar', number: 2, reported: {at: 30, executed: 'no'}},
    ],
  },
  {
    expected: ['notRunButReportedRun'],
    name: 'reported as run without a run',
    runs: [],
    sends: [{...SEND, reported: {at: 30, executed: 'yes'}}],
  },
  {
    expected: ['answerDiffers'],
    name: 'an answer that differs from the answer of the run',
    runs: [RUN],
    sends: [
      SEND,
      {
        ...SEND,
        number: 2,
        reported: {
          ...SEND.reported,
          answer: 'order 8',
          at: 30,
          executed: 'yes',
        },
      },
    ],
  },
  {
    expected: [],
    name: 'a lost answer and an unknown outcome promise nothing',
    runs: [RUN],
    sends: [
      {content: 'crate of 12', key: 'k', number: 1},
      {...SEND, number: 2, reported: {at: 30, executed: 'unknown'}},
    ],
  },
];

for (const {expected, name, runs, sends} of CASES) {
  t.test(name, async (t) => {
    const violations = new ClaimHistoryChecker({runs, sends}).check();
    t.same(
      violations.map(({kind}) => kind),
      expected,
    );
  });
}
