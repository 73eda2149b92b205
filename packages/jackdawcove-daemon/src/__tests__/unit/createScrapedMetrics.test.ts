import {once} from 'node:events';

import t from 'tap';

import {
  combineMetrics,
  createScrapedMetrics,
} from '../../host/createScrapedMetrics.js';

const LINES = [
  'jackdawcove_relay_answered_total{kind=""} 2',
  'jackdawcove_relay_result_total{kind="noInstance"} 1',
  'jackdawcove_relay_result_total{kind="quarantined"} 3',
  'jackdawcove_relay_duration_milliseconds_bucket{le="25"} 1',
  'jackdawcove_relay_duration_milliseconds_count 2',
  'jackdawcove_daemon_openCalls{kind=""} 7',
  'jackdawcove_relay_ended_total{result="answered",route="prices",service="shelf"} 2',
];

t.test('metrics are scraped over HTTP', async (t) => {
  const scraped = createScrapedMetrics();
  scraped.server.listen(0, '127.0.0.1');
  await once(scraped.server, 'listening');
  t.teardown(scraped.close);
  const {metrics} = combineMetrics([scraped]);
  metrics.increment('relay.answered');
  metrics.increment('relay.answered');
  metrics.increment('relay.result.noInstance');
  metrics.increment('relay.result.quarantined', 3);
  metrics.timing('relay.duration', 20);
  metrics.timing('relay.duration', 800);
  metrics.gauge('daemon.openCalls', 7);
  const end = {result: 'answered', route: 'prices', service: 'shelf'};
  metrics.countEnd(end);
  metrics.countEnd(end);
  const address = scraped.server.address();
  const port = typeof address === 'object' ? address?.port : undefined;
  const url = `http://127.0.0.1:${String(port)}/metrics`;
  const text = await (await fetch(url)).text();
  for (const line of LINES) {
    t.ok(text.split('\n').includes(line), line);
  }
  t.equal((await fetch(url, {method: 'POST'})).status, 405);
});

t.test('the number of metrics is bounded', async (t) => {
  const {close, metrics, server} = createScrapedMetrics();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(close);
  for (let index = 0; index < 1_000; index += 1) {
    metrics.increment(`group.name${String(index)}`);
  }
  const address = server.address();
  const port = typeof address === 'object' ? address?.port : undefined;
  const text = await (
    await fetch(`http://127.0.0.1:${String(port)}/metrics`)
  ).text();
  t.equal(text.match(/^# TYPE/gm)?.length, 256);
});

t.test('the number of label sets of ended requests is bounded', async (t) => {
  const {close, metrics, server} = createScrapedMetrics();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(close);
  for (let index = 0; index < 3_000; index += 1) {
    const route = `route-${String(index)}`;
    metrics.countEnd({result: 'answered', route, service: 'shelf'});
  }
  const address = server.address();
  const port = typeof address === 'object' ? address?.port : undefined;
  const text = await (
    await fetch(`http://127.0.0.1:${String(port)}/metrics`)
  ).text();
  const ends = text.match(/^jackdawcove_relay_ended_total\{.*$/gm) ?? [];
  t.equal(ends.length, 2_001);
  t.match(ends.at(-1), /route="\(other\)".* 1000$/);
});
