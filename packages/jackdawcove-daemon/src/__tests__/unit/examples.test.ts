import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {
  compilePolicies,
  formatConfigurationFault,
  parseFleetConfiguration,
} from 'jackdawcove-configuration';
import {announcementSchema} from 'jackdawcove-membership';
import {formatSettingsFault, parseSettings} from 'jackdawcove-settings';
import t from 'tap';

const EXAMPLES = join(import.meta.dirname, '../../../../../examples');
const readSecret = () => 'a-secret-of-a-test-0';

const DEPLOYMENTS = {
  lakeshore: {
    services: {
      labels: [60, 450],
      orders: [60, 450],
      route: [15, 200],
      shelf: [35, 300],
    },
    zones: ['erie-dock', 'huron-yard', 'ontario-cellar', 'superior-shed'],
  },
  tarifa: {
    services: {
      documentos: [300, 2_000],
      estados: [35, 300],
      historial: [230, 1_500],
      solicitudes: [300, 2_000],
    },
    zones: ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'],
  },
} as const;

function readFolder(...parts: readonly string[]): [string, string][] {
  const folder = join(EXAMPLES, ...parts);
  return readdirSync(folder).map((name) => [
    name,
    readFileSync(join(folder, name), 'utf8'),
  ]);
}

for (const [deployment, {services, zones}] of Object.entries(DEPLOYMENTS)) {
  t.test(`${deployment}: settings`, async (t) => {
    const voterZones = new Set<string>();
    for (const [name, text] of readFolder(deployment, 'settings')) {
      const settings = parseSettings(text, name, readSecret).unwrapOrElse(
        (faults) => {
          throw new Error(faults.map(formatSettingsFault).join('; '));
        },
      );
      t.equal(`${settings.daemon.name}.ini`, name);
      t.strictSame(settings.fleet.availabilityZones, zones);
      const {initialVoters, voter} = settings.control;
      t.equal(initialVoters.includes(settings.daemon.name), voter);
      if (voter) {
        voterZones.add(settings.daemon.availabilityZone);
      }
    }
    t.equal(voterZones.size, 3, 'each voter is in a different zone');
  });

  t.test(`${deployment}: fleet configuration`, async (t) => {
    const text = readFileSync(join(EXAMPLES, deployment, 'fleet.ini'), 'utf8');
    const configuration = parseFleetConfiguration(text).unwrapOrElse(
      (faults) => {
        throw new Error(faults.map(formatConfigurationFault).join('; '));
      },
    );
    t.doesNotThrow(() => compilePolicies(configuration));
    for (const {matcher, name} of configuration.exceptions) {
      t.ok(Object.keys(services).includes(matcher.service ?? ''), name);
    }
  });

  t.test(`${deployment}: announcements`, async (t) => {
    const announced = readFolder(deployment, 'announcements').map(
      ([, text]) => {
        const {connections, service, slots} = announcementSchema.parse(
          JSON.parse(text),
        );
        return [service, [slots, connections]];
      },
    );
    t.same(Object.fromEntries(announced), services);
  });
}

const URGENT_REQUESTS = [
  ['lakeshore', 'orders', 'POST', '/settlements/7'],
  ['tarifa', 'estados', 'GET', '/urgentes/7'],
] as const;

t.test('requests that must be shed last are urgent', async (t) => {
  for (const [deployment, service, method, path] of URGENT_REQUESTS) {
    const text = readFileSync(join(EXAMPLES, deployment, 'fleet.ini'), 'utf8');
    const configuration = parseFleetConfiguration(text).unwrapOrElse(() => {
      throw new Error('The example is invalid.');
    });
    const policy = compilePolicies(configuration).getPolicy({
      method,
      path,
      service,
    });
    t.equal(policy.importance, 'urgent');
  }
});
