import type {FrameKind} from '../../FrameSchemas.js';

import t from 'tap';

import {FRAME_CHECKS} from '../../FrameChecks.js';
import {FRAME_SCHEMAS} from '../../FrameSchemas.js';

const CALL_HEAD = {
  attempt: {},
  attemptIdentifier: 'a.1',
  headers: [['accept', '*/*']],
  remainingMilliseconds: 1.5,
  tokens: 0,
};
const ANSWER_HEAD = {
  executed: 'yes',
  headers: [],
  load: undefined,
  resultNumber: 0,
  status: 200,
};
const END = {checksum: 1, length: 0};
const ANSWER_END = {...END, load: {}, tokensReturned: 1};

const FIELDS: Partial<Record<FrameKind, readonly object[]>> = {
  acknowledge: [{frames: 3}, {frames: -1}, {frames: '3'}, {frames: 1.5}],
  answer: [
    {callNumber: 1, head: ANSWER_HEAD},
    {callNumber: 1, end: ANSWER_END, head: ANSWER_HEAD},
    {callNumber: 1, end: {...ANSWER_END, length: -1}, head: ANSWER_HEAD},
    {callNumber: 1, head: {...ANSWER_HEAD, executed: 'maybe'}},
    {callNumber: 1, head: {...ANSWER_HEAD, status: 1_000}},
    {callNumber: 1, head: {...ANSWER_HEAD, status: 99}},
    {callNumber: 1, head: {...ANSWER_HEAD, headers: [['a']]}},
    {callNumber: 1, head: null},
  ],
  answerBody: [{callNumber: 0}, {callNumber: null}],
  answerEnd: [
    {callNumber: 1, end: ANSWER_END},
    {callNumber: 1, end: {...ANSWER_END, tokensReturned: 70_000}},
    {callNumber: 1, end: undefined},
  ],
  call: [
    {callNumber: 1, head: CALL_HEAD},
    {callNumber: 1, end: END, head: CALL_HEAD},
    {callNumber: 1, end: null, head: CALL_HEAD},
    {callNumber: 1, head: {...CALL_HEAD, attemptIdentifier: ''}},
    {callNumber: 1, head: {...CALL_HEAD, attemptIdentifier: 'x'.repeat(129)}},
    {callNumber: 1, head: {...CALL_HEAD, headers: [['a', 1]]}},
    {callNumber: 1, head: {...CALL_HEAD, remainingMilliseconds: -1}},
    {callNumber: 1, head: {...CALL_HEAD, remainingMilliseconds: Infinity}},
    {callNumber: 1, head: {...CALL_HEAD, tokens: 0.5}},
  ],
  callBody: [{callNumber: 7}, {}],
  callEnd: [
    {callNumber: 1, end: END},
    {callNumber: 1, end: {...END, checksum: NaN}},
  ],
  cancel: [{callNumber: 1}, {callNumber: -1}],
  credit: [
    {byteCount: 1, callNumber: 1},
    {byteCount: 2 ** 60, callNumber: 1},
  ],
};

for (const [kind, check] of Object.entries(FRAME_CHECKS)) {
  t.test(`${kind}: the fast check and the schema agree`, async (t) => {
    const cases = FIELDS[kind as FrameKind] ?? [];
    t.ok(cases.length > 1);
    for (const fields of cases) {
      const {success} = FRAME_SCHEMAS[kind as FrameKind].safeParse(fields);
      t.equal(check(fields as never), success, JSON.stringify(fields));
    }
  });
}
