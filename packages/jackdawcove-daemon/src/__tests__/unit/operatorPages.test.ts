import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {EVENT_KINDS} from 'jackdawcove-timeline';
import t from 'tap';

const PACKAGE = join(import.meta.dirname, '../../..');
const METRICS_PAGE = join(PACKAGE, '../../docs/METRICS.md');
const METRIC_PATTERN = /\.(?:gauge|increment|timing)\(\s*['`]([^'`]+)['`]/g;
const EVENT_PATTERN = /recordEvent\(\s*'([^']+)'/g;

function readSources(): string[] {
  const folder = join(PACKAGE, 'src');
  return readdirSync(folder, {recursive: true})
    .map(String)
    .filter((name) => name.endsWith('.ts') && !name.includes('__tests__'))
    .map((name) => readFileSync(join(folder, name), 'utf8'))
    .map((text) => text.replaceAll(/^ \*.*$/gm, ''));
}

function findNames(pattern: RegExp): string[] {
  const names = readSources().flatMap((text) =>
    [...text.matchAll(pattern)].map(([, name = '']) => name),
  );
  return [...new Set(names)].sort();
}

function readDocumentedNames(): string[] {
  const text = readFileSync(METRICS_PAGE, 'utf8');
  return text.split('\n').map((line) => (line.split('|')[1] ?? '').trim());
}

/** Constant start of each computed metric name and the name on the page. */
const COMPUTED_PARTS = [
  ['administration.', 'administration.unauthorized'],
  ['attempts.refused.', 'attempts.refused.RESULT'],
  ['calls.result.', 'calls.result.RESULT'],
  ['ledger.claims.', 'ledger.claims.KIND'],
  ['members.', 'members.unreachable'],
  ['membership.announcementRefused.', 'membership.announcementRefused.RESULT'],
  ['organisation.', 'organisation.NAME.admitted'],
  ['relay.result.', 'relay.result.RESULT'],
  ['relay.strayAnswer.', 'relay.strayAnswer.CAUSE'],
  ['relay.closedConnection.', 'relay.closedConnection.LIMIT'],
  ['relay.strayPacket.', 'relay.strayPacket.CAUSE'],
  ['relay.unanswered.', 'relay.unanswered.CAUSE'],
  ['sessions.', 'sessions.sessionClosed'],
  ['traffic.', 'traffic.otherZones.KIND'],
] as const;

function toDocumentedName(name: string): string {
  const [start = ''] = name.split('${');
  const computed = COMPUTED_PARTS.find(([part]) => part === start);
  return computed?.[1] ?? name;
}

t.test('docs/METRICS.md lists every metric of the daemon', async (t) => {
  const documented = readDocumentedNames();
  const names = findNames(METRIC_PATTERN);
  t.ok(names.length > 20, 'the sources were read');
  for (const name of names) {
    t.ok(documented.includes(toDocumentedName(name)), name);
  }
});

t.test('docs/METRICS.md and EVENT_KINDS list every event kind', async (t) => {
  const documented = readDocumentedNames();
  for (const kind of [
    ...findNames(EVENT_PATTERN),
    ...Object.keys(EVENT_KINDS),
  ]) {
    t.ok(Object.hasOwn(EVENT_KINDS, kind), `${kind} is in EVENT_KINDS`);
    t.ok(documented.includes(kind), `${kind} is on the page`);
  }
});
