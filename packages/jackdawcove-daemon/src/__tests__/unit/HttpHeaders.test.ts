import t from 'tap';

import {parseTarget} from '../../dataPlane/createCallRequest.js';
import {
  selectAnswerHeaders,
  selectRequestHeaders,
} from '../../dataPlane/HttpHeaders.js';

const REQUEST_CASES = [
  {
    headers: {accept: '*/*', connection: 'close', host: 'a'},
    name: 'hop-by-hop headers',
    selected: [['accept', '*/*']],
  },
  {
    headers: {connection: 'X-Trace, close', 'x-other': '1', 'x-trace': '7'},
    name: 'named by the connection header',
    selected: [['x-other', '1']],
  },
  {
    headers: {accept: 'a', 'jackdaw-context': 'forged'},
    name: 'reserved headers are not accepted from callers',
    selected: [['accept', 'a']],
  },
  {
    headers: {'x-many': ['1', '2']},
    name: 'header with several values',
    selected: [['x-many', '1, 2']],
  },
];

for (const {headers, name, selected} of REQUEST_CASES) {
  t.test(name, async (t) => {
    t.same(selectRequestHeaders(headers), selected);
  });
}

t.test('headers of answers', async (t) => {
  const raw = ['ETag', '7', 'Connection', 'close', 'Jackdaw-Result', '0'];
  t.same(selectAnswerHeaders(raw), [['etag', '7']]);
});

const TARGET_CASES = [
  {target: {path: '/', service: 'orders'}, url: '/orders'},
  {target: {path: '/?a=1', service: 'orders'}, url: '/orders?a=1'},
  {target: {path: '/a/b?c', service: 'orders'}, url: '/orders/a/b?c'},
  {target: undefined, url: '/'},
  {target: undefined, url: 'http://elsewhere/orders'},
  {target: undefined, url: '*'},
];

for (const {target, url} of TARGET_CASES) {
  t.test(`target of ${url}`, async (t) => {
    t.same(parseTarget(url), target);
  });
}
