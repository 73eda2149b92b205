import type {FleetConfiguration} from '../../index.js';

import fc from 'fast-check';
import t from 'tap';

import {checkConfiguration} from '../../checkConfiguration.js';
import {
  DEFAULT_CONFIGURATION_TEXT,
  DEFAULT_POLICY_VALUES,
  diffConfigurations,
  digestConfiguration,
  formatConfiguration,
  formatConfigurationFault,
  formatDifference,
  MAXIMUM_DOCUMENT_BYTES,
  MAXIMUM_EXCEPTIONS,
  parseFleetConfiguration,
} from '../../index.js';

const BASE = `
[defaults]
importance = normal
retry_tokens = 3
[exception.settlement]
reason = "Unpaid crates are not delivered; markets open at seven."
service = orders
method = POST
path = /settlements/*
importance = urgent
`;

function parseValid(text: string): FleetConfiguration {
  return parseFleetConfiguration(text).unwrapOrElse((faults) => {
    throw new Error(faults.map(formatConfigurationFault).join('; '));
  });
}

function findFaults(text: string): string[] {
  return parseFleetConfiguration(text).match<string[]>({
    Err: (faults) => faults.map(formatConfigurationFault),
    Ok: () => [],
  });
}

function createException(name: string, body: string): string {
  return `[exception.${name}]\nreason = r\n${body.replaceAll(', ', '\n')}\n`;
}

t.test('the default document parses to the defaults', async (t) => {
  t.strictSame(parseValid(DEFAULT_CONFIGURATION_TEXT), {
    defaults: DEFAULT_POLICY_VALUES,
    exceptions: [],
  });
  t.strictSame(parseValid(''), parseValid(DEFAULT_CONFIGURATION_TEXT));
});

t.test('an exception keeps its reason, matchers and overrides', async (t) => {
  const [exception] = parseValid(BASE).exceptions;
  t.strictSame(exception, {
    matcher: {method: 'POST', path: '/settlements/*', service: 'orders'},
    name: 'settlement',
    overrides: {importance: 'urgent'},
    reason: 'Unpaid crates are not delivered; markets open at seven.',
  });
});

/** Replaced text, its replacement, and the start of the only expected fault. */
const FAULTS: readonly (readonly [string, string, string])[] = [
  ['[defaults]', '[default]', 'line 2: [default] is not a known section'],
  [
    '[defaults]',
    'x = 1\n[defaults]',
    'line 2: stands before the first section',
  ],
  ['[defaults]', '[defaults]\nfoo', 'line 3: [defaults] is not "[section]"'],
  [
    '[defaults]',
    '[defaults]\nfoo = 1',
    'line 3: [defaults] foo: is not a known',
  ],
  [
    '[defaults]',
    '[defaults]\nservice = x',
    'line 3: [defaults] service: is not',
  ],
  [
    '[defaults]',
    '[defaults]\n[defaults]',
    'line 3: [defaults] stands more than',
  ],
  ['= normal', '= highest', 'line 3: [defaults] importance: "highest" is not'],
  [
    '= normal',
    '= normal\nimportance = high',
    'line 4: [defaults] importance: is',
  ],
  ['= 3', '= 33', 'line 4: [defaults] retry_tokens: "33" is not allowed'],
  ['= 3', '= -1', 'line 4: [defaults] retry_tokens: "-1" is not allowed'],
  ['= 3', '= 3\nbody_limit_bytes = 1.1', 'line 5: [defaults] body_limit_bytes'],
  ['= 3', '= 3\nidempotent = true', 'line 5: [defaults] idempotent: "true" is'],
  [
    '= 3',
    '= 3\nretry_budget_ratio = 0.2',
    'line 5: [defaults] retry_budget_ratio: is not applied',
  ],
  ['exception.settlement', 'exception.', 'line 5: [exception.] does not name'],
  ['reason', '; reason', 'line 5: [exception.settlement] reason: is missing'],
  [
    '"Unpaid crates are not delivered; markets open at seven."',
    '" "',
    'line 6: [exception.settlement] reason: is missing',
  ],
  [
    '= orders',
    '= or ders',
    'line 7: [exception.settlement] service: "or ders"',
  ],
  ['= POST', '= post', 'line 8: [exception.settlement] method: "post" is not'],
  ['/settlements/*', 'x', 'line 9: [exception.settlement] path: "x" is not'],
  ['/settlements/*', '/*/x', 'line 9: [exception.settlement] path: "/*/x" is'],
  [
    'importance = urgent',
    '',
    'line 5: [exception.settlement] overrides nothing',
  ],
  [
    'importance = urgent',
    'importance = urgent\ncold_start_milliseconds = 1',
    'line 11: [exception.settlement] cold_start_milliseconds: is not applied',
  ],
];

t.test('each fault is reported as one line with its line number', async (t) => {
  t.strictSame(findFaults(BASE), []);
  for (const [part, replacement, expected] of FAULTS) {
    const faults = findFaults(BASE.replace(part, replacement));
    t.equal(faults.length, 1, `one fault: ${expected}`);
    t.ok(faults[0]?.startsWith(expected), `${expected} / ${String(faults[0])}`);
  }
  const long = `; ${'x'.repeat(MAXIMUM_DOCUMENT_BYTES)}`;
  t.match(findFaults(long), [/is longer than/]);
  const many = Array.from({length: MAXIMUM_EXCEPTIONS + 1}, (_, index) =>
    createException(`e${String(index)}`, `service = s${String(index)}`),
  );
  t.match(findFaults(many.join('')), [/holds 301 exceptions/]);
});

/** Bodies of two exceptions, and the start of the expected fault if any. */
const PAIRS: readonly (readonly [string, string, string])[] = [
  ['service = a, importance = high', 'service = b, importance = high', ''],
  [
    'service = a, importance = high',
    'service = a, retry_tokens = 1',
    'line 5: [exception.second] matches the same requests as [exception.first]',
  ],
  [
    'service = a, importance = high',
    'service = a, path = /x*, importance = urgent',
    '',
  ],
  [
    'service = a, importance = high',
    'method = GET, importance = urgent',
    'line 5: [exception.second] importance: is ambiguous: [exception.first]',
  ],
  ['service = a, importance = high', 'method = GET, retry_tokens = 1', ''],
  [
    'path = /x*, importance = high',
    'service = a, path = /xy*, importance = urgent',
    '',
  ],
  [
    'service = a, path = /x*, importance = high',
    'path = /xy*, importance = urgent',
    'line 6: [exception.second] importance: is ambiguous',
  ],
  ['path = /x, importance = high', 'path = /x/y, importance = low', 'line 8'],
  ['path = /x, importance = high', 'path = /x/y, importance = urgent', ''],
  [
    'importance = high',
    'service = a, importance = high',
    'line 1: [exception.f',
  ],
];

t.test('ambiguous overlaps are refused', async (t) => {
  for (const [first, second, expected] of PAIRS) {
    const texts = [
      createException('first', first),
      createException('second', second),
    ];
    const [fault = ''] = findFaults(texts.join(''));
    t.ok(
      expected === '' ? fault === '' : fault.startsWith(expected),
      `${first} with ${second}: ${fault}`,
    );
  }
});

/** Matcher and overrides of an exception, and the expected fault if any. */
const SERVICE_FAULTS = [
  [{service: 'a'}, {coldStartMilliseconds: 1}, undefined],
  [{method: 'GET', service: 'a'}, {coldStartMilliseconds: 1}, /as a whole/],
  [{path: '/x', service: 'a'}, {retryBudgetRatio: 0.2}, /as a whole/],
  [{service: 'a'}, {queueDelayLimitMilliseconds: 5}, /5 is below the target/],
  [{service: 'a'}, {queueDelayTargetMilliseconds: 201}, /200 is below/],
] as const;

t.test('service-wide values are checked', async (t) => {
  for (const [matcher, overrides, expected] of SERVICE_FAULTS) {
    const exception = {line: 1, matcher, name: 'a', overrides, reason: 'r'};
    const faults = checkConfiguration(DEFAULT_POLICY_VALUES, [exception]);
    const reasons = faults.map(({reason}) => reason);
    t.match(reasons, expected === undefined ? [] : [expected]);
    t.equal(reasons.length, expected === undefined ? 0 : 1);
  }
  const values = {...DEFAULT_POLICY_VALUES, queueDelayLimitMilliseconds: 5};
  t.equal(checkConfiguration(values, []).length, 1);
});

t.test('formatting and parsing keep a configuration', async (t) => {
  const reasons = fc
    .string({minLength: 1})
    .filter((text) => text.trim() !== '');
  const word = fc.constantFrom('orders', 'shelf', 'labels', 'route');
  const exception = fc.record({
    name: fc.uuid(),
    reason: reasons,
    retryTokens: fc.nat(32),
    service: word,
  });
  const exceptions = fc.uniqueArray(exception, {
    selector: ({service}) => service,
  });
  fc.assert(
    fc.property(exceptions, (rows) => {
      const configuration: FleetConfiguration = {
        defaults: DEFAULT_POLICY_VALUES,
        exceptions: rows
          .map(({name, reason, retryTokens, service}) => ({
            matcher: {service},
            name,
            overrides: {retryTokens},
            reason: reason.trim(),
          }))
          .sort((left, right) => (left.name < right.name ? -1 : 1)),
      };
      const parsed = parseValid(formatConfiguration(configuration));
      t.same(parsed, configuration);
    }),
    {numRuns: 100, seed: 1},
  );
});

t.test('the parser does not throw on any text', async (t) => {
  const piece = fc.oneof(
    fc.string(),
    fc.constantFrom('[defaults]', '[exception.a]', "'null' = 1", '[__proto__]'),
    fc.constantFrom(
      "reason = '{}'",
      'reason = "',
      'path = [',
      'service =',
      '=',
    ),
  );
  fc.assert(
    fc.property(fc.array(piece), (pieces) => {
      parseFleetConfiguration(pieces.join('\n'));
    }),
    {numRuns: 1_000, seed: 1},
  );
  t.pass('1000 texts');
});

const EQUIVALENT_TEXTS = [
  `; a comment\n${BASE}`,
  BASE.replace('retry_tokens = 3', 'maximum_depth = 24\nretry_tokens = 3'),
  BASE.replace('settlement]', 'other-name]').replace('Unpaid', 'Unsettled'),
  BASE.replaceAll('\n', '\r\n'),
  `${BASE}${createException('repeats', 'service = orders, retry_tokens = 3')}`,
];

const DIFFERENT_TEXTS = [
  BASE.replace('= 3', '= 4'),
  BASE.replace('urgent', 'high'),
  BASE.replace('/settlements/*', '/settlements'),
  `${BASE}${createException('adds', 'service = orders, retry_tokens = 2')}`,
];

t.test('the digest depends on the effective values only', async (t) => {
  const digest = digestConfiguration(parseValid(BASE));
  for (const text of EQUIVALENT_TEXTS) {
    t.equal(digestConfiguration(parseValid(text)), digest);
  }
  for (const text of DIFFERENT_TEXTS) {
    t.not(digestConfiguration(parseValid(text)), digest);
  }
});

t.test('differences are listed by section and key', async (t) => {
  const before = parseValid(BASE);
  const after = parseValid(
    BASE.replace('= 3', '= 4')
      .replace('POST', 'PUT')
      .replace('importance = urgent', 'retry_tokens = 0'),
  );
  t.strictSame(diffConfigurations(before, after).map(formatDifference), [
    '[defaults] retry_tokens: 3 -> 4',
    '[exception.settlement] method: POST -> PUT',
    '[exception.settlement] importance: urgent -> (unset)',
    '[exception.settlement] retry_tokens: (unset) -> 0',
  ]);
  t.strictSame(diffConfigurations(before, before), []);
});
