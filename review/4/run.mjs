/** A daemon is killed after an instance has withdrawn; then a late heartbeat arrives. */

import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

import {Client} from '../lib/Client.mjs';
import {createConfiguration} from '../lib/configuration.mjs';
import {Fleet, waitFor} from '../lib/fleet.mjs';
import {Instance} from '../lib/Instance.mjs';
import {createRecord} from '../lib/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const REQUESTS_PER_SECOND = 30;
const RESTART_MILLISECONDS = 300;
/** Bounds of the site. */
const CONTACT_MILLISECONDS = 3_000;
const DRAIN_MILLISECONDS = 2_000;
/** A heartbeat may arrive seconds late. */
const LATENESS_MILLISECONDS = 2_500;
const SERVED_AFTER_WITHDRAWAL_MILLISECONDS = 9_000;

const {events, record} = createRecord(join(import.meta.dirname, 'record.txt'));
const fleet = new Fleet();

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
      drawWork: () => 100,
      host,
      id: `i-${service}-${index}`,
      port: fleet.ports.app,
      record,
      service,
      slots: 26,
    });
    await instance.start();
    instances.push(instance);
  }
  const configuration = createConfiguration(1, {
    'r-check': {host: 'check.example', kind: 'idempotent', service: 'registry'},
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
  return {hosts, instances};
}

/** The instance withdraws, serves on for some seconds and ends. */
async function withdraw(instance, host) {
  const lateHeartbeat = instance.createHeartbeat();
  const sentAt = performance.now();
  const {status} = await instance.sendDelete();
  record('withdrawn', {instance: instance.id, status});
  const withdrawnAt = events.at(-1).at;
  let inTouchFrom = 0;
  if (HAS_TROUBLE) {
    await delay(200);
    record('kill', {host});
    fleet.signal(host, 'SIGKILL');
    await fleet.waitForExit(host);
    await delay(RESTART_MILLISECONDS);
    fleet.startAgain(host);
    record('start', {host});
    inTouchFrom = events.at(-1).at + CONTACT_MILLISECONDS;
  }
  await delay(LATENESS_MILLISECONDS - (performance.now() - sentAt));
  const late = await instance.sendBody(lateHeartbeat);
  record('lateHeartbeat', {instance: instance.id, status: late.status});
  await delay(SERVED_AFTER_WITHDRAWAL_MILLISECONDS - LATENESS_MILLISECONDS);
  instance.stop();
  return {inTouchFrom, withdrawnAt};
}

async function main() {
  const {hosts, instances} = await startMachines();
  const client = new Client({
    address: fleet.getAddress(hosts[0], 'outbound'),
    hostName: 'check.example',
    method: 'GET',
    path: '/work/1',
    record,
    timeout: 5_000,
  });
  const run = client.run(REQUESTS_PER_SECOND);
  await delay(3_000);
  const leaving = instances[3];
  const {inTouchFrom, withdrawnAt} = await withdraw(leaving, hosts[3]);
  client.stop();
  await run;
  for (const instance of instances) {
    instance.stop();
  }
  // DRAIN: a request reaches the instance later than drain_ms after the acknowledgement.
  const from = Math.max(withdrawnAt + DRAIN_MILLISECONDS, inTouchFrom);
  return events.filter(
    ({at, instance, kind}) =>
      kind === 'run' && instance === leaving.id && at > from,
  );
}

try {
  const broken = await main();
  const successes = events.filter(({status}) => status === 200).length;
  record('result', {DRAIN: broken.length});
  process.stdout.write(
    `successes ${successes}\nDRAIN ${broken.length} ${JSON.stringify(broken[0] ?? '')}\n`,
  );
  process.exitCode = successes < 10 ? 2 : Number(broken.length > 0);
} catch (error) {
  process.stdout.write(`${String(error.stack)}\n`);
  process.exitCode = 2;
} finally {
  await fleet.stop();
}
process.exit();
