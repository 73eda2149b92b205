import t from 'tap';

import {RateLimitedLog} from '../../host/RateLimitedLog.js';

t.test('each kind of line is rate limited and drops are counted', async (t) => {
  const lines: Record<string, unknown>[] = [];
  let now = 0;
  const log = new RateLimitedLog(
    {
      info: (fields: unknown) => {
        lines.push(fields as Record<string, unknown>);
      },
    } as never,
    () => now,
  );
  for (let index = 0; index < 1_000; index += 1) {
    log.write('refused', {request: index}, 'refused');
  }
  log.write('failed', {request: 'other'}, 'failed');
  t.equal(lines.length, 11, 'ten lines of one kind, one of the other');
  now = 1_000;
  log.write('refused', {request: 'late'}, 'refused');
  t.match(lines.at(-1), {linesLeftOut: 990, request: 'late'});
  log.write('refused', {request: 'next'}, 'refused');
  t.equal(
    lines.at(-1)?.['linesLeftOut'],
    undefined,
    'dropped lines are reported once',
  );
});
