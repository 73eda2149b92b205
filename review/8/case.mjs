/** An instance leaves right after the daemon beside it was restarted. */

import {setTimeout as delay} from 'node:timers/promises';

import {runCase, waitFor} from '../common-2/fleet.mjs';
import {
  Client,
  createConfiguration,
  createRoute,
  Instance,
  press,
} from '../common-2/standIns.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'orders.example';
const DRAIN_MILLISECONDS = 2_000;
const LATE_MILLISECONDS = 3_000;
/** The instance serves for `drain_ms` after the acknowledgement and some seconds more. */
const SERVING_MILLISECONDS = DRAIN_MILLISECONDS + 6_000;
const HEARTBEAT_MILLISECONDS = 1_500;
const RESTART_MILLISECONDS = 300;

const SIDECARS = ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'].flatMap((zone) => [
  {service: 'orders', slots: 20, work: 150, zone},
  {service: 'shelf', slots: 20, work: 150, zone},
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
    place: createRoute(HOST, 'orders', {attempts: 1, kind: 'non_idempotent'}),
  });
  const status = await fleet.putConfiguration(configuration, 0);
  fleet.record(`first configuration answered ${String(status)}`);
  // The clients are on the machines of the other service, which stay as they are.
  const clients = fleet.sidecars
    .filter(({service}) => service === 'shelf')
    .map((machine) => new Client(machine));
  const isServed = await waitFor(async () => {
    const answers = await Promise.all(
      clients.map((client) =>
        client.send({body: 'x', host: HOST, method: 'POST'}),
      ),
    );
    return answers.every((answer) => answer.status === 200);
  });
  return {clients, instances, isReady: status === 200 && isServed};
}

/** Withdraws the instance until it is acknowledged; returns the time of that. */
async function withdraw(instance) {
  const isAcknowledged = await waitFor(
    async () => (await instance.withdraw()) === 200,
    5_000,
  );
  return isAcknowledged ? performance.now() : undefined;
}

function countAfter(instance, from) {
  return instance.arrivals.filter(({at}) => at > from).length;
}

/** Records how many requests were sent, and each that was not served. */
function recordOutcomes(fleet, clients) {
  const outcomes = clients.flatMap((client) => client.outcomes);
  const failed = outcomes.filter(({status}) => status !== 200);
  for (const {error, id, status} of failed) {
    fleet.record(`request ${id} ended with ${String(status ?? error)}`);
  }
  fleet.record(
    `${String(outcomes.length)} requests sent, ${String(failed.length)} not served`,
  );
}

async function play(fleet) {
  const {clients, instances, isReady} = await startFleet(fleet);
  if (!isReady) {
    fleet.record('the fleet did not start');
    return 2;
  }
  const stops = clients.map((client) =>
    press(client, () => ({body: 'x', host: HOST, method: 'POST'}), 40),
  );
  await delay(5_000);
  const [leaving] = instances;
  const [machine] = fleet.sidecars;
  leaving.stopHeartbeats();
  const heartbeatStatus = await leaving.heartbeat();
  fleet.record(
    `${leaving.id} last heartbeat before the restart: ${String(heartbeatStatus)}`,
  );
  if (HAS_TROUBLE) {
    await fleet.kill(machine.host);
    await delay(RESTART_MILLISECONDS);
    fleet.startProcess(machine.host);
  } else {
    await delay(RESTART_MILLISECONDS);
  }
  await delay(HEARTBEAT_MILLISECONDS - RESTART_MILLISECONDS);
  const late = leaving.heartbeat(LATE_MILLISECONDS);
  await delay(100);
  const acknowledgedAt = await withdraw(leaving);
  if (acknowledgedAt === undefined) {
    fleet.record('the withdrawal was not acknowledged');
    return 2;
  }
  await delay(SERVING_MILLISECONDS);
  const count = countAfter(leaving, acknowledgedAt + DRAIN_MILLISECONDS);
  fleet.record(
    `${String(countAfter(leaving, acknowledgedAt))} requests reached ${leaving.id} after the acknowledgement, ` +
      `${String(count)} of them later than ${String(DRAIN_MILLISECONDS)} ms after it`,
  );
  leaving.exit();
  await late;
  await delay(1_500);
  for (const stop of stops) {
    stop();
  }
  await delay(1_000);
  recordOutcomes(fleet, clients);
  for (const client of clients) {
    client.close();
  }
  for (const instance of instances.slice(1)) {
    instance.exit();
  }
  return count > 0 ? 1 : 0;
}

await runCase('review/8/record.txt', play);
