import type {BodyFraming} from '../../http/BodyReader.js';
import type {MessageFault} from '../../http/MessageReader.js';

import t from 'tap';

import {findAnswerFraming, findRequestFraming} from '../../http/findFraming.js';
import {createHeaderRules, parseHead} from '../../http/HttpHead.js';
import {MessageReader} from '../../http/MessageReader.js';

const RULES = createHeaderRules([]);
const LIMITS = {bodyBytes: 64, headBytes: 128};

type ReadResult = {
  readonly bodies: string[];
  readonly fault: MessageFault | undefined;
  readonly isComplete: boolean;
};

function handleHead(text: string): BodyFraming | MessageFault {
  const head = parseHead(text, RULES);
  if (head === undefined) {
    return 'malformed';
  }
  return text.startsWith('HTTP/')
    ? findAnswerFraming('GET', Number(text.slice(9, 12)), head.values)
    : findRequestFraming(head.values);
}

function readInParts(text: string, partBytes: number): ReadResult {
  const bodies: string[] = [];
  const reader = new MessageReader(
    {
      onHead: handleHead,
      onMessage: (body) => {
        bodies.push(body.toString());
      },
    },
    LIMITS,
  );
  const bytes = Buffer.from(text);
  let fault: MessageFault | undefined;
  for (let offset = 0; offset < bytes.length; offset += partBytes) {
    fault ??= reader.push(bytes.subarray(offset, offset + partBytes));
  }
  return {bodies, fault, isComplete: reader.end()};
}

const GET = 'GET / HTTP/1.1\r\n';
const OK = 'HTTP/1.1 200 OK\r\n';

const CASES = [
  {bodies: [''], name: 'reads a request without a body', text: `${GET}\r\n`},
  {
    bodies: ['', 'abc', ''],
    name: 'reads pipelined requests',
    text: `${GET}\r\n${GET}content-length: 3\r\n\r\nabc${GET}\r\n`,
  },
  {
    bodies: ['abcde'],
    name: 'reads chunks with an extension and a trailer',
    text: `${GET}transfer-encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nt: u\r\n\r\n`,
  },
  {
    bodies: [''],
    name: 'ignores empty lines before a request',
    text: `\r\n\r\n${GET}\r\n`,
  },
  {
    bodies: ['until the end'],
    name: 'reads an answer that ends with its connection',
    text: `${OK}\r\nuntil the end`,
  },
  {
    bodies: ['', 'x'],
    name: 'reads an interim answer before the final one',
    text: `HTTP/1.1 100 Continue\r\n\r\n${OK}content-length: 1\r\n\r\nx`,
  },
  {
    bodies: [],
    isComplete: false,
    name: 'reports as incomplete: a truncated body',
    text: `${OK}content-length: 9\r\n\r\nhalf`,
  },
  {
    bodies: [],
    isComplete: false,
    name: 'reports as incomplete: a truncated chunk',
    text: `${OK}transfer-encoding: chunked\r\n\r\n5\r\nhalf`,
  },
  {
    bodies: [],
    fault: 'malformed',
    name: 'rejects a content length together with a transfer encoding',
    text: `${GET}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc`,
  },
  {
    bodies: [],
    fault: 'malformed',
    name: 'rejects a transfer encoding other than chunked',
    text: `${GET}transfer-encoding: gzip, chunked\r\n\r\n`,
  },
  {
    bodies: [],
    fault: 'malformed',
    name: 'rejects a content length that is not a number',
    text: `${GET}content-length: +3\r\n\r\nabc`,
  },
  {
    bodies: [],
    fault: 'malformed',
    name: 'rejects a chunk size that is not a number',
    text: `${GET}transfer-encoding: chunked\r\n\r\n0x3\r\nabc\r\n`,
  },
  {
    bodies: [],
    fault: 'malformed',
    name: 'rejects a chunk longer than its size',
    text: `${GET}transfer-encoding: chunked\r\n\r\n1\r\nabc\r\n`,
  },
  {
    bodies: [],
    fault: 'bodyTooLarge',
    name: 'rejects a body over the limit',
    text: `${GET}content-length: 65\r\n\r\n`,
  },
  {
    bodies: [],
    fault: 'bodyTooLarge',
    name: 'rejects chunks over the limit',
    text: `${GET}transfer-encoding: chunked\r\n\r\n41\r\n${'x'.repeat(65)}\r\n`,
  },
  {
    bodies: [],
    fault: 'headersTooLarge',
    name: 'rejects a head over the limit',
    text: `${GET}a: ${'b'.repeat(200)}\r\n\r\n`,
  },
  {
    bodies: [],
    fault: 'headersTooLarge',
    isComplete: false,
    name: 'rejects an unterminated head over the limit',
    text: `${GET}a: ${'b'.repeat(200)}`,
  },
] as const;

for (const {bodies, name, text, ...expected} of CASES) {
  t.test(name, async (t) => {
    for (const partBytes of [1, 2, 3, 7, text.length]) {
      const result = readInParts(text, partBytes);
      t.same(result.bodies, bodies, `parts of ${String(partBytes)}`);
      const fault = 'fault' in expected ? expected.fault : undefined;
      t.equal(result.fault, fault);
      if (fault === undefined) {
        const isComplete =
          'isComplete' in expected ? expected.isComplete : true;
        t.equal(result.isComplete, isComplete);
      }
    }
  });
}

t.test('a paused reader keeps what arrives until it reads on', (t) => {
  const bodies: string[] = [];
  const reader = new MessageReader(
    {
      onHead: handleHead,
      onMessage: (body) => {
        bodies.push(body.toString());
        reader.pause();
      },
    },
    LIMITS,
  );
  const request = `${GET}content-length: 1\r\n\r\n`;
  reader.push(Buffer.from(`${request}a${request}b${request}c`));
  t.same(bodies, ['a']);
  t.equal(reader.getHeldBytes(), 2 * (request.length + 1));
  reader.resume();
  t.same(bodies, ['a', 'b']);
  reader.stop();
  t.equal(reader.getHeldBytes(), 0, 'a stopped reader holds nothing');
  reader.resume();
  t.same(bodies, ['a', 'b']);
  t.end();
});

t.test('a body that is refused is not kept', (t) => {
  const reader = new MessageReader(
    {onHead: handleHead, onMessage: () => undefined},
    LIMITS,
  );
  const chunk = `10\r\n${'x'.repeat(16)}\r\n`;
  reader.push(Buffer.from(`${GET}transfer-encoding: chunked\r\n\r\n${chunk}`));
  t.equal(reader.getHeldBytes(), 16);
  t.equal(reader.push(Buffer.from(chunk.repeat(4))), 'bodyTooLarge');
  t.ok(reader.isStopped());
  t.equal(reader.getHeldBytes(), 0);
  t.end();
});
