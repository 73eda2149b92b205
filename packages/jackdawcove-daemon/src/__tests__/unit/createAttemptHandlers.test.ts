/** Tests answers of other daemons to attempts. */

import type {CallerSideInput} from 'jackdawcove-call';

import t from 'tap';

import {createAttemptHandlers} from '../../dataPlane/createAttemptHandlers.js';

const CASES = [
  {isUsable: true, status: 200},
  {isUsable: true, status: 599},
  {isUsable: false, status: 101},
  {isUsable: false, status: 600},
  {isUsable: false, status: 999},
];

// Guards against answers of earlier versions whose status is none of HTTP (MIXED).
for (const {isUsable, status} of CASES) {
  const name = isUsable ? 'is passed on' : 'fails the attempt';
  t.test(`an answer with status ${String(status)} ${name}`, async (t) => {
    const inputs: CallerSideInput[] = [];
    const received: unknown[] = [];
    const handlers = createAttemptHandlers({
      attemptIdentifier: 'a1',
      handleInput: (input) => {
        inputs.push(input);
      },
      onBody: (bytes) => {
        received.push(Buffer.from(bytes).toString());
      },
      onHead: (head) => {
        received.push(head.status);
      },
      onSessionLost: () => undefined,
      onWritable: () => undefined,
    });
    const load = undefined;
    handlers.onHead({
      executed: 'yes',
      headers: [],
      load,
      resultNumber: 0,
      status,
    });
    handlers.onBody(Buffer.from('body'));
    handlers.onEnd({checksum: 0, length: 4, load, tokensReturned: 2});
    t.strictSame(received, isUsable ? [status, 'body'] : []);
    t.match(inputs.at(-1), {
      end: {result: isUsable ? 'ok' : 'outcomeUnknown', tokensReturned: 2},
      kind: 'answerEnd',
    });
  });
}
