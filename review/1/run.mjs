/** A daemon is killed, again shortly after each start, while requests of its clients run elsewhere. */

import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

import {findMixed, findRefused, findTwice} from '../lib/checks.mjs';
import {Client} from '../lib/Client.mjs';
import {createConfiguration} from '../lib/configuration.mjs';
import {Fleet, waitFor} from '../lib/fleet.mjs';
import {Instance} from '../lib/Instance.mjs';
import {createRecord} from '../lib/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SLOTS = 26;
const CLIENTS = 40;
const KILLS = 3;
/** Time from the first request that the daemon passes on to its end. */
const LIFE_MILLISECONDS = 300;
const RESTART_MILLISECONDS = 300;
/** Work of `file-return` and `cred-check` in the site files. */
const WORK_MILLISECONDS = 480;
const WORK_SPREAD = 0.3;

const {events, record} = createRecord(join(import.meta.dirname, 'record.txt'));
const fleet = new Fleet();

const drawWork = () =>
  WORK_MILLISECONDS * (1 + WORK_SPREAD * (2 * Math.random() - 1));

const countRuns = () => events.filter(({kind}) => kind === 'run').length;

async function startMachines() {
  await fleet.prepare();
  fleet.startCores();
  const hosts = [11, 12, 13, 14, 15, 16, 17, 18].map((number) =>
    fleet.getHost(number),
  );
  const instances = [];
  for (const [index, host] of hosts.entries()) {
    const service = index === 0 ? 'counter' : 'registry';
    fleet.startSidecar(host, service);
    const instance = new Instance({
      control: fleet.getAddress(host, 'control'),
      drawWork,
      host,
      id: `i-${service}-${index}`,
      port: fleet.ports.app,
      record,
      service,
      slots: SLOTS,
    });
    await instance.start();
    instances.push(instance);
  }
  const configuration = createConfiguration(1, {
    'r-check': {host: 'check.example', kind: 'idempotent', service: 'registry'},
    'r-file': {
      host: 'file.example',
      kind: 'non_idempotent',
      service: 'registry',
    },
  });
  if ((await fleet.putConfiguration(configuration, '0')) !== 200) {
    throw new Error('the configuration was refused');
  }
  await waitFor(async () => {
    const beats = await Promise.all(
      instances.map((each) => each.sendHeartbeat()),
    );
    const ready = await Promise.all(hosts.map((host) => fleet.isReady(host)));
    return beats.every(({status}) => status === 200) && ready.every(Boolean);
  }, 'all machines are ready');
  await delay(4_000);
  return {front: hosts[0], instances};
}

async function main() {
  const {front, instances} = await startMachines();
  const clients = Array.from(
    {length: CLIENTS},
    (_, index) =>
      new Client({
        address: fleet.getAddress(front, 'outbound'),
        hostName: index % 2 === 0 ? 'file.example' : 'check.example',
        method: index % 2 === 0 ? 'POST' : 'GET',
        path: '/work/1',
        record,
        timeout: 5_000,
      }),
  );
  const runs = clients.map((client) => client.runInTurn());
  for (let kill = 0; kill < KILLS; kill += 1) {
    const runCount = countRuns();
    await waitFor(() => countRuns() > runCount, 'requests are passed on');
    await delay(LIFE_MILLISECONDS);
    if (HAS_TROUBLE) {
      record('kill', {host: front, kill});
      fleet.signal(front, 'SIGKILL');
      await fleet.waitForExit(front);
      await delay(RESTART_MILLISECONDS);
      fleet.startAgain(front);
      record('start', {host: front, kill});
    }
  }
  await delay(3_000);
  for (const client of clients) {
    client.stop();
  }
  await Promise.all(runs);
  for (const instance of instances) {
    instance.stop();
  }
}

try {
  await main();
  const broken = {
    MIXED: findMixed(events),
    REFUSED: findRefused(events),
    TWICE: findTwice(events),
  };
  const successes = events.filter(({status}) => status === 200).length;
  record('result', broken);
  process.stdout.write(`successes ${successes}\n`);
  for (const [rule, cases] of Object.entries(broken)) {
    process.stdout.write(
      `${rule} ${cases.length} ${JSON.stringify(cases[0] ?? '')}\n`,
    );
  }
  const isBroken = Object.values(broken).some((cases) => cases.length > 0);
  process.exitCode = successes < 10 ? 2 : Number(isBroken);
} catch (error) {
  process.stdout.write(`${String(error.stack)}\n`);
  process.exitCode = 2;
} finally {
  await fleet.stop();
}
process.exit();
