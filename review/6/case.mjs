/** Daemons are killed beside instances that run orders; some orders are refused though they run. */

import {setTimeout as delay} from 'node:timers/promises';

import {runCase, waitFor} from '../common-2/fleet.mjs';
import {
  Client,
  createConfiguration,
  createRoute,
  Instance,
} from '../common-2/standIns.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'orders.example';
const TIMEOUT_MILLISECONDS = 1_200;
const WORK_MILLISECONDS = 1_000;
const KILLS = 6;
const RESTART_MILLISECONDS = 300;
const PAUSE_MILLISECONDS = 8_000;
/** Interval of the requests of one client machine. */
const REQUEST_MILLISECONDS = 8;
const DEADLINE_MILLISECONDS = 5_000;

const SIDECARS = ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'].flatMap((zone) => [
  {service: 'orders', slots: 353, work: WORK_MILLISECONDS, zone},
  {service: 'shelf', slots: 264, work: 50, zone},
]);

async function startFleet(fleet) {
  await fleet.start(SIDECARS);
  const instances = fleet.sidecars.map(
    (machine) => new Instance(fleet, machine),
  );
  for (const instance of instances) {
    instance.start();
  }
  const configuration = createConfiguration(1, {
    place: createRoute(HOST, 'orders', {
      kind: 'non_idempotent',
      timeout_ms: TIMEOUT_MILLISECONDS,
    }),
  });
  const status = await fleet.putConfiguration(configuration, 0);
  fleet.record(`first configuration answered ${String(status)}`);
  const clients = fleet.sidecars
    .filter(({service}) => service === 'shelf')
    .map((machine) => new Client(machine));
  const isServed = await waitFor(async () => {
    const answers = await Promise.all(
      clients.map((client) =>
        client.send({body: 'first', host: HOST, method: 'POST'}),
      ),
    );
    return answers.every((answer) => answer.status === 200);
  });
  return {clients, instances, isReady: status === 200 && isServed};
}

let orderCount = 0;

/** Places one order; after a promise that it has not run, it is sent once more. */
async function placeOrder(client) {
  orderCount += 1;
  const body = `order ${String(orderCount)}`;
  const startedAt = performance.now();
  const order = {
    body,
    deadline: DEADLINE_MILLISECONDS,
    host: HOST,
    method: 'POST',
  };
  const {retryAfter = 0, status} = await client.send(order);
  const left = DEADLINE_MILLISECONDS - (performance.now() - startedAt);
  const pause = Math.min(retryAfter * 1_000, left / 3);
  if (status === 503 && left > 0) {
    await delay(pause);
    await client.send({...order, deadline: Math.floor(left - pause)});
  }
}

/** Sends orders at an interval; returns the function that stops that. */
function press(client) {
  const timer = setInterval(() => {
    void placeOrder(client);
  }, REQUEST_MILLISECONDS);
  return () => clearInterval(timer);
}

/** Records the orders that ran twice, each refused once although it had run. */
function recordDoubled(fleet, instances, refused) {
  const runs = new Map();
  for (const {body, id} of instances.flatMap(({arrivals}) => arrivals)) {
    runs.set(body, [...(runs.get(body) ?? []), id]);
  }
  for (const [body, ids] of runs) {
    if (ids.length > 1 && ids.some((id) => refused.has(id))) {
      fleet.record(
        `${body} was run ${String(ids.length)} times: ${ids.join(', ')}`,
      );
    }
  }
}

/** Records the requests that were refused though they ran; returns their number. */
function countBroken(fleet, clients, instances) {
  const runs = new Map(
    instances.flatMap(({arrivals, id: instance}) =>
      arrivals.map(({at, id}) => [id, {at, instance}]),
    ),
  );
  const outcomes = clients.flatMap((client) => client.outcomes);
  const counts = {};
  const refused = new Set();
  for (const {answeredAt, error, id, sentAt, status} of outcomes) {
    counts[status ?? error] = (counts[status ?? error] ?? 0) + 1;
    const run = runs.get(id);
    if ((status === 503 || status === 429) && run !== undefined) {
      refused.add(id);
      fleet.record(
        `request ${id}: run by ${run.instance} ${String(Math.round(run.at - sentAt))} ms after it was sent, ` +
          `answered ${String(status)} ${String(Math.round(answeredAt - sentAt))} ms after it was sent`,
      );
    }
  }
  fleet.record(`answers: ${JSON.stringify(counts)}`);
  fleet.record(`refused though they had run: ${String(refused.size)}`);
  recordDoubled(fleet, instances, refused);
  return refused.size;
}

async function play(fleet) {
  const {clients, instances, isReady} = await startFleet(fleet);
  if (!isReady) {
    fleet.record('the fleet did not start');
    return 2;
  }
  const stops = clients.map((client) => press(client));
  await delay(5_000);
  const machines = fleet.sidecars.filter(({service}) => service === 'orders');
  for (let count = 0; count < KILLS; count += 1) {
    const {host} = machines[count % machines.length];
    if (HAS_TROUBLE) {
      await fleet.kill(host);
      await delay(RESTART_MILLISECONDS);
      fleet.startProcess(host);
    }
    await delay(PAUSE_MILLISECONDS);
  }
  for (const stop of stops) {
    stop();
  }
  await delay(6_000);
  const brokenCount = countBroken(fleet, clients, instances);
  for (const client of clients) {
    client.close();
  }
  for (const instance of instances) {
    instance.exit();
  }
  return brokenCount > 0 ? 1 : 0;
}

await runCase('review/6/record.txt', play);
