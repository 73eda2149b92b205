import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import fc from 'fast-check';
import t from 'tap';

import {
  createSettingsFailure,
  formatSettingsFault,
  loadSettings,
  parseSettings,
} from '../../index.js';

const FILE = 'jackdawd.ini';
const VALID_SETTINGS = `
[daemon]
name = erie-1
region = lakes
availability_zone = erie-dock
data_folder = /var/lib/jackdawcove
[listen]
caller = 10.0.0.1:0
local = 127.0.0.1:0
fleet = 10.0.0.1:7103
[fleet]
key = fleet-key-of-a-test
availability_zones = erie-dock, huron-yard
seeds = 10.0.0.2:7103, [fd00::3]:7103
[control]
voter = true
initial_voters = erie-1, huron-1, ontario-1
[administration]
change_token = change-token-of-a-test
`;

const readMissingFile = () => {
  throw new Error('The file does not exist.');
};

function findFaults(text: string): string[] {
  return parseSettings(text, FILE, readMissingFile).match<string[]>({
    Err: (faults) => faults.map(formatSettingsFault),
    Ok: () => [],
  });
}

t.test('valid settings get types and defaults', async (t) => {
  const settings = parseSettings(VALID_SETTINGS, FILE).unwrapOrElse(() => {
    throw new Error('Valid settings were rejected.');
  });
  t.match(settings, {
    administration: {changeTokens: ['change-token-of-a-test'], readTokens: []},
    control: {initialVoters: ['erie-1', 'huron-1', 'ontario-1'], voter: true},
    daemon: {availabilityZone: 'erie-dock', name: 'erie-1', region: 'lakes'},
    fleet: {
      seeds: [
        {host: '10.0.0.2', port: 7103},
        {host: 'fd00::3', port: 7103},
      ],
    },
    limits: {openCalls: 10_000},
    listen: {
      administration: {host: '127.0.0.1', port: 7104},
      caller: {host: '10.0.0.1', port: 0},
    },
    log: {level: 'info'},
  });
  t.notOk('statsd' in settings.metrics, 'statsd is off by default');
});

/** Text to replace, its replacement, and the start of the only fault line. */
const FAULT_CASES: readonly (readonly [string, string, string])[] = [
  ['[daemon]', '[deamon]\nx = 1\n[daemon]', '[deamon] is not a known section'],
  ['name =', 'nam = x\nname =', '[daemon] nam: is not a known key'],
  ['name = erie-1', '', '[daemon] name: is missing'],
  ['name = erie-1', 'name = erie 1', '[daemon] name: "erie 1" is not allowed'],
  ['[daemon]', 'x = 1\n[daemon]', 'x: stands before the first section'],
  [
    'region =',
    'region = a\nregion =',
    '[daemon] region: is set more than once',
  ],
  ['caller = 10.0.0.1:0', 'caller = vm:80', '[listen] caller: "vm:80" is not'],
  ['10.0.0.1:7103', '10.0.0.1:65536', '[listen] fleet: "10.0.0.1:65536" is'],
  ['127.0.0.1:0', '10.0.0.1:0', '[listen] local: "10.0.0.1:0" is not allowed'],
  ['10.0.0.2:7103', '10.0.0.2:0', '[fleet] seeds: "10.0.0.2:0, [fd00::3]'],
  ['erie-dock, huron-yard', ',', '[fleet] availability_zones: "," is not'],
  ['huron-yard', 'erie-dock', '[fleet] availability_zones: "erie-dock, erie'],
  ['erie-dock, huron', 'huron', '[daemon] availability_zone: "erie-dock" is'],
  ['voter = true', 'voter = yes', '[control] voter: "yes" is not allowed'],
  [
    'data_folder = /var/lib/jackdawcove',
    '',
    '[daemon] data_folder: is missing',
  ],
  ['erie-1, huron-1', 'a,b,c,d,e,f,g', '[control] initial_voters: "a,b,c,d,e'],
  ['erie-1, huron-1, ont', 'ont', '[control] initial_voters: "ontario-1" is'],
  ['erie-1, huron-1, ', 'erie-1, ', '[control] initial_voters: "erie-1, onta'],
  ['key = fleet-key-of-a-test', '', '[fleet] key: is missing; allowed: either'],
  ['key = fleet-key-of-a-test', 'key = a', '[fleet] key: holds a secret that'],
  ['key =', 'key_file = x\nkey =', '[fleet] key_file: is set beside a value'],
  ['key = fleet-key-of-a-test', 'key_file = x', '[fleet] key_file: "x" cannot'],
  [
    'change_token =',
    'read_token = a\nchange_token =',
    '[administration] read_',
  ],
  [
    '[control]',
    '[limits]\nopen_calls = 0\n[control]',
    '[limits] open_calls: "0"',
  ],
  [
    '[control]',
    '[limits]\nbody_bytes = 1e9\n[control]',
    '[limits] body_bytes:',
  ],
  ['[control]', '[log]\nlevel = loud\n[control]', '[log] level: "loud" is not'],
  ['[control]', '[metrics]\nstatsd = x\n[control]', '[metrics] statsd: "x" is'],
  ['[control]', '[timeline]\ncapacity = 1\n[control]', '[timeline] capacity:'],
  ['[control]', '[drain]\ngrace_milliseconds = x\n[control]', '[drain] grace_'],
];

t.test('each fault is reported in one line', async (t) => {
  t.strictSame(findFaults(VALID_SETTINGS), []);
  for (const [part, replacement, expected] of FAULT_CASES) {
    const faults = findFaults(VALID_SETTINGS.replace(part, replacement));
    t.equal(faults.length, 1, `one fault: ${expected}`);
    const [line = ''] = faults;
    t.ok(line.startsWith(`${FILE}: ${expected}`), `${expected} / ${line}`);
    t.notOk(line.includes('\n'));
  }
});

t.test('all faults are reported', async (t) => {
  const text = VALID_SETTINGS.replace('voter = true', 'voter = yes')
    .replace('10.0.0.1:7103', 'x')
    .replace('region =', 'regoin =');
  t.equal(findFaults(text).length, 4);
});

t.test('faults do not show secrets', async (t) => {
  const text = VALID_SETTINGS.replace('fleet-key-of-a-test', 'short-secret');
  const [line = ''] = findFaults(text);
  t.ok(line.includes('too short'));
  t.notOk(line.includes('short-secret'));
});

t.test('secret files are read and unreadable files are reported', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'jackdawcove-settings-'));
  t.teardown(() => {
    rmSync(folder, {recursive: true});
  });
  const path = join(folder, FILE);
  const text = VALID_SETTINGS.replace(
    'key = fleet-key-of-a-test',
    'key_file = a.key',
  );
  writeFileSync(path, `${text}\nread_tokens_file = read.tokens\n`);
  writeFileSync(join(folder, 'a.key'), '# fleet key\nkey-from-a-file-0\n');
  writeFileSync(
    join(folder, 'read.tokens'),
    'read-token-number-1\n\nread-token-number-2\n',
  );
  const settings = loadSettings(path).unwrapOrElse(() => {
    throw new Error('Valid settings were rejected.');
  });
  t.equal(settings.fleet.key, 'key-from-a-file-0');
  t.equal(settings.administration.readTokens.length, 2);
  const missing = loadSettings(join(folder, 'none.ini'));
  t.ok(missing.isErr);
  const failure = createSettingsFailure(missing.isErr ? missing.error : []);
  t.equal(failure.result, 'settingsUnreadable');
});

t.test('the parser does not throw on any text', async (t) => {
  const piece = fc.oneof(
    fc.string(),
    fc.constantFrom('[daemon]', "'null' = 1", '"', '[__proto__]', 'name = x'),
    fc.constantFrom(
      "'5' = 1",
      'key[] = 1',
      '[a.b]',
      'constructor = 1',
      '=',
      '[',
    ),
  );
  const text = fc.array(piece).map((pieces) => pieces.join('\n'));
  fc.assert(
    fc.property(
      text,
      (value) => parseSettings(value, FILE, readMissingFile).isErr,
    ),
    {numRuns: 1_000, seed: 1},
  );
  t.pass('1000 texts');
});
