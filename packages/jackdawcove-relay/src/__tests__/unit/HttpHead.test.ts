import t from 'tap';

import {
  createHeaderRules,
  isConnectionClosed,
  parseHead,
} from '../../http/HttpHead.js';

const RULES = createHeaderRules([
  ['host', 'forward'],
  ['x-deadline', 'drop'],
]);

const FORWARDED = [
  {
    expected: ['Host: a'],
    lines: ['Host: a'],
    name: 'a header with a forward rule',
  },
  {
    expected: ['X-Own: 1'],
    lines: ['X-Own: 1'],
    name: 'a header without a rule',
  },
  {expected: [], lines: ['X-Deadline: 5'], name: 'a header set by the daemon'},
  {expected: [], lines: ['Connection: close'], name: 'a connection header'},
  {
    expected: ['X-Kept: 1'],
    lines: ['Connection: X-Gone, keep-alive', 'X-Gone: 1', 'X-Kept: 1'],
    name: 'a header that Connection lists',
  },
  {
    expected: ['X-Twice: 1', 'X-Twice: 2'],
    lines: ['X-Twice: 1', 'X-Twice: 2'],
    name: 'a repeated header',
  },
];

for (const {expected, lines, name} of FORWARDED) {
  t.test(`forwarding of ${name}`, async (t) => {
    const head = parseHead(['GET / HTTP/1.1', ...lines].join('\r\n'), RULES);
    t.equal(head?.forwardedLines, expected.map((l) => `${l}\r\n`).join(''));
    t.equal(head?.startLine, 'GET / HTTP/1.1');
  });
}

const MALFORMED = [
  {name: 'a space before the colon', text: 'GET / HTTP/1.1\r\nHost : a'},
  {name: 'a folded line', text: 'GET / HTTP/1.1\r\nA: b\r\n c'},
  {name: 'a line without a colon', text: 'GET / HTTP/1.1\r\nHost'},
  {name: 'a bare line feed', text: 'GET / HTTP/1.1\r\nA: b\nC: d'},
  {name: 'a bare carriage return', text: 'GET / HTTP/1.1\r\nA: b\rC: d'},
  {name: 'a carriage return at the end', text: 'GET / HTTP/1.1\r\nA: b\r'},
  {name: 'two line feeds', text: 'GET / HTTP/1.1\r\nA: b\r\n\nC: d'},
  {name: 'two carriage returns', text: 'GET / HTTP/1.1\r\nA: b\r\r\nC: d'},
  {name: 'a name that is not a token', text: 'GET / HTTP/1.1\r\nA(: b'},
  {name: 'a NUL', text: 'GET / HTTP/1.1\r\nA: b\0'},
  {
    name: 'two Content-Length headers',
    text: 'GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1',
  },
  {name: 'two Host headers', text: 'GET / HTTP/1.1\r\nHost: a\r\nHost: b'},
];

for (const {name, text} of MALFORMED) {
  t.test(`${name} is malformed`, async (t) => {
    t.equal(parseHead(text, RULES), undefined);
  });
}

t.test('the Connection header closes a connection', async (t) => {
  const cases = [
    [undefined, false],
    ['keep-alive', false],
    ['close', true],
    ['Keep-Alive, Close', true],
  ] as const;
  for (const [connection, expected] of cases) {
    const values = new Map(
      connection === undefined ? [] : [['connection', connection]],
    );
    t.equal(isConnectionClosed(values), expected, String(connection));
  }
});
