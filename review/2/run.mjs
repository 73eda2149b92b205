/** A daemon is killed while calls of its instance wait at an instance that is slow. */

import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

import {findMixed, findRefused, findTwice} from '../lib/checks.mjs';
import {Client} from '../lib/Client.mjs';
import {createConfiguration} from '../lib/configuration.mjs';
import {call, Fleet, waitFor} from '../lib/fleet.mjs';
import {Instance} from '../lib/Instance.mjs';
import {createRecord} from '../lib/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ORDER_CLIENTS = 40;
const LOOK_UPS_PER_SECOND = 55;
/** Times from the first order that the daemon passes on to its end; one fleet each. */
const LIVES_MILLISECONDS = [950, 800, 1_100];
const RESTART_MILLISECONDS = 300;

const {events, record} = createRecord(join(import.meta.dirname, 'record.txt'));
let fleet = new Fleet();
let isSlow = false;

const draw = (mean) => mean * (1 + 0.3 * (2 * Math.random() - 1));
const countOrders = () =>
  events.filter(({kind, method}) => kind === 'run' && method === 'POST').length;

/** Number of the machine, its service, slots and mean work, and how slow it turns. */
const MACHINES = [
  [11, 'desk', 75, 50, 1],
  [12, 'book', 26, 480, 5],
  [13, 'orders', 99, 160, 1],
  [14, 'orders', 99, 160, 1],
  [15, 'orders', 99, 160, 1],
  [16, 'orders', 99, 160, 1],
  [17, 'counter', 26, 160, 1],
  [18, 'counter', 26, 160, 1],
];

/** A call of an instance, through the daemon on its machine. */
function createCall(host) {
  return async (identifier, timeout) => {
    const {status} = await call(
      fleet.getAddress(host, 'outbound'),
      'GET',
      '/book/1',
      {
        headers: {
          host: 'book.example',
          'x-jackdawcove-deadline-ms': String(Math.min(timeout, 2_500)),
          'x-jackdawcove-request-id': `${identifier}.1`,
        },
      },
    );
    return status === 200;
  };
}

async function startMachines() {
  await fleet.prepare();
  fleet.startCores();
  const instances = [];
  for (const [number, service, slots, work, slowness] of MACHINES) {
    const host = fleet.getHost(number);
    fleet.startSidecar(host, service);
    const instance = new Instance({
      control: fleet.getAddress(host, 'control'),
      drawWork: () => draw(work) * (isSlow ? slowness : 1),
      host,
      id: `i-${service}-${number}`,
      makeCall: service === 'desk' ? createCall(host) : undefined,
      port: fleet.ports.app,
      record,
      service,
      slots,
    });
    await instance.start();
    instances.push(instance);
  }
  const route = (service, kind) => ({
    host: `${service}.example`,
    kind,
    service,
  });
  const configuration = createConfiguration(1, {
    'r-book': route('book', 'idempotent'),
    'r-desk': route('desk', 'idempotent'),
    'r-order': route('orders', 'non_idempotent'),
  });
  if ((await fleet.putConfiguration(configuration, '0')) !== 200) {
    throw new Error('the configuration was refused');
  }
  await waitFor(async () => {
    const beats = await Promise.all(
      instances.map((each) => each.sendHeartbeat()),
    );
    const ready = await Promise.all(
      MACHINES.map(([number]) => fleet.isReady(fleet.getHost(number))),
    );
    return beats.every(({status}) => status === 200) && ready.every(Boolean);
  }, 'all machines are ready');
  await delay(4_000);
  return {front: fleet.getHost(11), instances};
}

async function killLater(host, milliseconds) {
  await delay(milliseconds);
  record('kill', {host});
  fleet.signal(host, 'SIGKILL');
  await fleet.waitForExit(host);
  await delay(RESTART_MILLISECONDS);
  fleet.startAgain(host);
  record('start', {host});
}

/** Plays a fleet from its start to its end. */
async function play(lifeMilliseconds) {
  record('fleet', {lifeMilliseconds});
  fleet = new Fleet();
  const orderCount = countOrders();
  const {front, instances} = await startMachines();
  const orders = Array.from(
    {length: ORDER_CLIENTS},
    () =>
      new Client({
        address: fleet.getAddress(front, 'outbound'),
        hostName: 'orders.example',
        method: 'POST',
        path: '/work/1',
        record,
        timeout: 5_000,
      }),
  );
  const lookUps = new Client({
    address: fleet.getAddress(fleet.getHost(17), 'outbound'),
    hostName: 'desk.example',
    method: 'GET',
    path: '/work/1',
    record,
    timeout: 5_000,
  });
  isSlow = HAS_TROUBLE;
  const runs = [
    ...orders.map((client) => client.runInTurn()),
    lookUps.run(LOOK_UPS_PER_SECOND),
  ];
  await waitFor(() => countOrders() > orderCount, 'orders are passed on');
  if (HAS_TROUBLE) {
    await killLater(front, lifeMilliseconds);
  }
  await delay(3_500);
  isSlow = false;
  for (const client of [...orders, lookUps]) {
    client.stop();
  }
  await Promise.all(runs);
  await delay(1_500);
  for (const instance of instances) {
    instance.stop();
  }
  await fleet.stop();
}

try {
  for (const lifeMilliseconds of LIVES_MILLISECONDS) {
    isSlow = false;
    await play(lifeMilliseconds);
  }
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
  process.exitCode = successes < 10 ? 2 : Number(broken.TWICE.length > 0);
} catch (error) {
  process.stdout.write(`${String(error.stack)}\n`);
  process.exitCode = 2;
} finally {
  await fleet.stop();
}
process.exit();
