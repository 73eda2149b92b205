import fc from 'fast-check';
import t from 'tap';

import {
  compilePolicies,
  DEFAULT_POLICY_VALUES,
  parseFleetConfiguration,
  readAcceptedConfiguration,
} from '../../index.js';

const BASE = `
[defaults]
importance = high
retry_tokens = 1
[exception.first]
reason = r
service = orders
importance = urgent
[exception.second]
reason = r
service = shelf
importance = background
`;

/** Replaced text, its replacement, the importance, the remaining exceptions. */
const CASES: readonly (readonly [string, string, string, readonly string[]])[] =
  [
    ['[defaults]', '[defaults]', 'high', ['first', 'second']],
    ['= high', '= high\nhedging = on', 'high', ['first', 'second']],
    ['= high', '= highest', 'normal', ['first', 'second']],
    ['= orders', '= orders\ncaller = depot', 'high', ['second']],
    ['= urgent', '= most', 'high', ['second']],
    ['[exception.second]', '[limits.second]', 'high', ['first']],
    ['= shelf', '= orders', 'high', ['first']],
    ['= shelf', '= shelf\ncold_start_milliseconds = 5', 'high', ['first']],
  ];

t.test('unsupported parts are left out and reported', async (t) => {
  for (const [part, replacement, importance, names] of CASES) {
    const text = BASE.replace(part, replacement);
    const {configuration, faults} = readAcceptedConfiguration(text);
    const {defaults, exceptions} = configuration;
    t.equal(defaults.importance, importance, replacement);
    t.equal(defaults.retryTokens, 1);
    t.strictSame(
      exceptions.map(({name}) => name),
      names,
    );
    t.equal(faults.length === 0, part === replacement);
  }
});

t.test('a faulty exception keeps its "idempotent = no"', async (t) => {
  const text = BASE.replace('= urgent', '= most\nidempotent = no');
  const {configuration} = readAcceptedConfiguration(text);
  const query = {method: 'GET', path: '/x', service: 'orders'};
  const policy = compilePolicies(configuration).getPolicy(query);
  t.match(policy, {importance: 'high', isIdempotent: false});
});

t.test('both readers agree on a valid document', async (t) => {
  const parsed = parseFleetConfiguration(BASE).unwrapOr(undefined);
  t.strictSame(readAcceptedConfiguration(BASE).configuration, parsed);
});

t.test('any text can be read and compiled', async (t) => {
  const lines = fc.constantFrom(
    ...['[defaults]', '[exception.a]', '[exception.b]', 'reason = r'],
    ...['service = x', 'path = /x*', 'method = GET', 'path = x', 'x = 1'],
    ...['importance = urgent', 'retry_tokens = 99', 'retry_tokens = 2', '='],
  );
  fc.assert(
    fc.property(fc.array(lines), (texts) => {
      const {configuration} = readAcceptedConfiguration(texts.join('\n'));
      const keys = Object.keys(configuration.defaults);
      const query = {method: 'GET', path: '/x/y', service: 'x'};
      const policy = compilePolicies(configuration).getPolicy(query);
      return (
        keys.length === Object.keys(DEFAULT_POLICY_VALUES).length &&
        policy.retryTokens <= 3
      );
    }),
    {numRuns: 1_000, seed: 1},
  );
  t.pass('1000 texts');
});
