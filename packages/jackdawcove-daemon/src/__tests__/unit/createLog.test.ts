import type {ChildProcess} from 'node:child_process';
import type {Test} from 'tap';

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';

import t from 'tap';

const PROGRAM = new URL('../fixtures/writeLogLines.js', import.meta.url);
const LINES = 16_000;
const MAXIMUM_TURN_MILLISECONDS = 1_000;
const MAXIMUM_RESIDENT_BYTES = 64 * 1024 * 1024;

type Report = {
  readonly leftOut: number;
  readonly longestTurn: number;
  readonly residentBytes: number;
};

function startProgram(t: Pick<Test, 'teardown'>): ChildProcess {
  const child = fork(PROGRAM, {stdio: ['ignore', 'pipe', 'inherit', 'ipc']});
  t.teardown(() => child.kill('SIGKILL'));
  return child;
}

t.test('a reader that reads gets every line', async (t) => {
  const child = startProgram(t);
  const [output, [report]] = await Promise.all([
    text(child.stdout as NodeJS.ReadableStream),
    once(child, 'message') as Promise<[Report]>,
  ]);
  const lines = output.trimEnd().split('\n');
  t.equal(lines.length + report.leftOut, LINES);
  t.equal(report.leftOut, 0);
  t.ok(lines.every((line) => line.startsWith('{') && line.endsWith('}')));
});

t.test('a reader that has stopped costs neither time nor memory', async (t) => {
  const child = startProgram(t);
  const [report] = (await once(child, 'message')) as [Report];
  t.ok(
    report.longestTurn < MAXIMUM_TURN_MILLISECONDS,
    `longest turn ${report.longestTurn.toFixed(0)} ms`,
  );
  t.ok(
    report.residentBytes < MAXIMUM_RESIDENT_BYTES,
    `${String(report.residentBytes)} bytes more`,
  );
  t.ok(report.leftOut > 0, `${String(report.leftOut)} lines left out`);
  const [{closing}] = (await once(child, 'message')) as [{closing: number}];
  t.ok(closing < MAXIMUM_TURN_MILLISECONDS, 'and does not hold up the stop');
});
