import t from 'tap';

import {checkDocument, PolicySource} from '../../dataPlane/PolicySource.js';

const REQUEST = {method: 'GET', path: '/status', service: 'estados'};

const CASES = [
  {
    faults: 0,
    importance: 'normal',
    name: 'no configuration accepted yet',
    revision: 0,
    text: '',
  },
  {
    faults: 0,
    importance: 'high',
    name: 'a configuration that this version understands',
    revision: 3,
    text: '[defaults]\nimportance = high\n',
  },
  {
    faults: 1,
    importance: 'high',
    name: 'a key of another version',
    revision: 4,
    text: '[defaults]\nimportance = high\nkey_of_a_later_version = 7\n',
  },
] as const;

for (const {faults, importance, name, revision, text} of CASES) {
  t.test(name, async (t) => {
    const policies = new PolicySource();
    const reportedFaults = policies.apply({
      digest: '',
      documentText: text,
      isConfirmed: true,
      revision,
    });
    t.equal(reportedFaults.length, faults);
    t.match(policies.resolve(REQUEST), {importance, revision});
  });
}

t.test('a new configuration with an unknown key is refused', async (t) => {
  t.ok(checkDocument('[defaults]\nkey_of_a_later_version = 7\n').isErr);
});
