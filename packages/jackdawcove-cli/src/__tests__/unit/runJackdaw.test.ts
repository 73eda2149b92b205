import {RESULT_CODES} from 'jackdawcove-shared';
import t from 'tap';

import {TOOL_ACTIONS} from '../../ToolActions.js';
import {loseAnswers, refuseWith, run} from '../utils/runWithFakes.js';

const {
  daemonUnreachable,
  forbidden,
  invalidConfiguration,
  notFound,
  ok,
  partialAnswer,
  revisionConflict,
  settingsInvalid,
  settingsUnreadable,
  unauthorized,
  usage,
} = RESULT_CODES;

/** Command line, expected exit code and expected output. */
const ACTION_CASES: readonly (readonly [string, number, RegExp])[] = [
  ['--help', ok.exitCode, /Queries[^]*Commands[^]*voters replace/],
  ['timeline --help', ok.exitCode, /^jackdaw timeline \[--call/],
  ['--version', ok.exitCode, /^\d+\.\d+\.\d+\n$/],
  ['configuration check good.ini', ok.exitCode, /valid, 0 exceptions/],
  [
    'configuration check bad.ini',
    invalidConfiguration.exitCode,
    /line 2:[^]*line 3:/,
  ],
  [
    'configuration check bad.ini --json',
    invalidConfiguration.exitCode,
    /"isValid": false/,
  ],
  [
    'configuration diff good.ini other.ini',
    ok.exitCode,
    /importance: normal -> high/,
  ],
  ['configuration diff other.ini', ok.exitCode, /importance: normal -> high/],
  ['configuration diff good.ini', ok.exitCode, /no difference/],
  ['configuration get', ok.exitCode, /^; taken from revision 7\n\[defaults\]/],
  ['configuration history', ok.exitCode, /7 +1970-01-01T00:00:00.000Z +ana/],
  ['configuration status', partialAnswer.exitCode, /1 of 2[^]*missing huron-1/],
  [
    'configuration apply good.ini --reason r',
    ok.exitCode,
    /accepted as revision 7/,
  ],
  [
    'members',
    ok.exitCode,
    /erie-1 +lakes +erie-dock +alive, draining +yes +shelf/,
  ],
  [
    'explain r7 caller.log server.log',
    ok.exitCode,
    /050Z vm-2 r7\.2: request not served \(reason="full"\)\n[^]*100Z vm-1 r7: [^]*1 lines were no log records/,
  ],
  ['explain r7 caller.log --json', ok.exitCode, /"skipped": 1/],
  ['explain r9 caller.log', notFound.exitCode, /^$/],
  ['explain r7', usage.exitCode, /^$/],
  ['explain r7 none.log', usage.exitCode, /^$/],
  ['status', ok.exitCode, /revision 7 \(unconfirmed\)[^]*no backend server/],
  ['drain --reason r', ok.exitCode, /erie-1: draining yes/],
  ['quarantine list', ok.exitCode, /f1 +shelf +quarantined +2/],
  ['quarantine release f1 --reason r', ok.exitCode, /released f1/],
  ['voters list', ok.exitCode, /^a \(leader\)\nb\nc\n$/],
  ['voters replace c d --reason r', ok.exitCode, /voters a, b, d/],
  [
    'timeline',
    partialAnswer.exitCode,
    /call=c1 result=200\nnot reached: huron-1/,
  ],
  ['timeline --json', partialAnswer.exitCode, /"missing"/],
];

t.test('actions return their exit code and print their output', async (t) => {
  for (const [line, code, pattern] of ACTION_CASES) {
    const result = await run(line);
    t.equal(result.code, code, `${line} ${result.error}`);
    t.match(result.output, pattern);
    if (line.includes('--json')) {
      t.doesNotThrow(() => JSON.parse(result.output) as unknown);
    }
  }
});

/** Command line that is rejected, expected exit code and expected error. */
const REJECTED_LINE_CASES: readonly (readonly [string, number, RegExp])[] = [
  ['', usage.exitCode, /^600 usage: .*no command/],
  ['fly', usage.exitCode, /^600 usage: .*unknown command "fly"/],
  ['members --tokn x', usage.exitCode, /^600 usage: .*unknown flag --tokn/],
  ['members x', usage.exitCode, /expected: members/],
  ['configuration check', usage.exitCode, /expected: configuration check FILE/],
  ['configuration check none.ini', settingsUnreadable.exitCode, /^602 /],
  [
    'configuration diff bad.ini',
    invalidConfiguration.exitCode,
    /^500 .*line 2/,
  ],
  [
    'configuration get --revision x',
    usage.exitCode,
    /--revision: expects a whole/,
  ],
  ['configuration apply good.ini', usage.exitCode, /--reason is required/],
  [
    'configuration apply bad.ini --reason r',
    invalidConfiguration.exitCode,
    /^500/,
  ],
  ['voters replace x d --reason r', usage.exitCode, /x is not a voter/],
  ['voters add a --reason r', usage.exitCode, /a is a voter already/],
  ['voters remove d --reason r', usage.exitCode, /d is not a voter/],
  ['voters replace a', usage.exitCode, /expected: voters replace OLD NEW/],
  ['timeline --since soon', usage.exitCode, /--since expects/],
  ['members --address vm:80', usage.exitCode, /"vm:80" is not IP:PORT/],
  ['members --token-file none', settingsUnreadable.exitCode, /^602/],
  ['members --settings none', settingsUnreadable.exitCode, /^602/],
  [
    'members --settings bad-tool.ini',
    settingsInvalid.exitCode,
    /^601 .*line 2/,
  ],
];

t.test('a rejected command line sends no POST request', async (t) => {
  for (const [line, code, pattern] of REJECTED_LINE_CASES) {
    const result = await run(line);
    t.equal(result.code, code, `${line} ${result.output}`);
    t.match(result.error, pattern);
    t.notOk(result.requests.some(({method}) => method === 'POST'));
  }
});

t.test('every action is covered by a command line above', async (t) => {
  const lines = [...ACTION_CASES, ...REJECTED_LINE_CASES].map(([line]) => line);
  for (const {name} of TOOL_ACTIONS) {
    t.ok(
      lines.some((line) => line.startsWith(name)),
      name,
    );
  }
});

const REFUSAL_CASES = [
  [unauthorized, 'members'],
  [forbidden, 'drain --reason r'],
  [revisionConflict, 'configuration apply revision.ini --reason r'],
] as const;

t.test('refusals by the daemon keep their result number', async (t) => {
  for (const [code, line] of REFUSAL_CASES) {
    const result = await run(line, {respond: refuseWith(code.number)});
    t.equal(result.code, code.exitCode, line);
    t.match(
      result.error,
      new RegExp(`${String(code.number)} ${code.name}.*why`),
    );
    const json = await run(`${line} --json`, {
      respond: refuseWith(code.number),
    });
    t.match(JSON.parse(json.output), {detail: 'why', number: code.number});
  }
  const malformed = await run('members', {
    respond: () => ({status: 200, text: '{'}),
  });
  t.equal(malformed.code, RESULT_CODES.internalError.exitCode);
});

t.test('the defaults are in force until the first change', async (t) => {
  const respond = refuseWith(RESULT_CODES.notFound.number);
  const initial = await run('configuration get', {respond});
  t.match(initial.output, /^; taken from revision 0\n\[defaults\]/);
  const diff = await run('configuration diff other.ini', {respond});
  t.match(diff.output, /importance: normal -> high/);
  const old = await run('configuration get --revision 3', {respond});
  t.equal(old.code, RESULT_CODES.notFound.exitCode);
});

t.test(
  'a lost answer to a change prints the command that resends it',
  async (t) => {
    const line = 'configuration apply good.ini --reason r';
    const lost = await run(line, {respond: loseAnswers('ECONNRESET')});
    t.equal(lost.code, RESULT_CODES.changeOutcomeUnknown.exitCode);
    t.match(lost.error, /^change identifier minted-1\n511 /);
    t.match(lost.error, /--change-identifier minted-1 --expected-revision 7/);
    const unsent = await run(line, {respond: loseAnswers('ECONNREFUSED')});
    t.equal(unsent.code, daemonUnreachable.exitCode);
  },
);

/** Arguments, and the revision that the change must expect. */
const EXPECTED_REVISION_CASES: readonly (readonly [string, number])[] = [
  ['good.ini', 7],
  ['revision.ini', 4],
  ['revision.ini --expected-revision 2', 2],
];

t.test(
  'the expected revision comes from the flag, the comment or the fleet',
  async (t) => {
    for (const [words, expectedRevision] of EXPECTED_REVISION_CASES) {
      const line = `configuration apply ${words} --reason r --change-identifier c9`;
      const {requests} = await run(line);
      const {body = ''} = requests.at(-1) ?? {};
      t.match(JSON.parse(body), {
        author: 'ana',
        changeIdentifier: 'c9',
        documentText: /^\[defaults\]/,
        expectedRevision,
        reason: 'r',
      });
    }
  },
);

/** Flags, environment, and the expected origin and token of the request. */
const SETTINGS_SOURCE_CASES = [
  ['', {}, 'http://127.0.0.1:7104', undefined],
  ['--settings tool.ini', {}, 'http://10.0.0.9:9', 'token-from-a-file'],
  [
    '',
    {JACKDAW_ADDRESS: '10.0.0.8:8', JACKDAW_SETTINGS: 'tool.ini'},
    'http://10.0.0.8:8',
    'token-from-a-file',
  ],
  [
    '--address 10.0.0.7:7 --token t',
    {JACKDAW_ADDRESS: '10.0.0.8:8'},
    'http://10.0.0.7:7',
    't',
  ],
  ['--address [::1]:7', {JACKDAW_TOKEN: 'e'}, 'http://[::1]:7', 'e'],
] as const;

t.test(
  'flags take precedence over the environment, which overrides the file',
  async (t) => {
    for (const [flags, environment, origin, token] of SETTINGS_SOURCE_CASES) {
      const {requests} = await run(`members ${flags}`, {environment});
      t.equal(requests[0]?.url, `${origin}/members`);
      t.equal(
        requests[0]?.headers['authorization'],
        token === undefined ? undefined : `Bearer ${token}`,
      );
    }
  },
);

const SINCE_CASES = [
  ['5m', '300000'],
  ['90s', '510000'],
  ['1d', '0'],
  ['1970-01-01T00:00:01Z', '1000'],
] as const;

t.test('the timeline query sends its filters as parameters', async (t) => {
  for (const [since, expected] of SINCE_CASES) {
    const {requests} = await run(`timeline --since ${since} --call c1 --vm a`);
    const {searchParams} = new URL(requests[0]?.url ?? '');
    t.strictSame(Object.fromEntries(searchParams), {
      call: 'c1',
      since: expected,
      vm: 'a',
    });
  }
});
