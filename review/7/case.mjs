/** The process of a core machine is killed while it catches up; later a final fault strikes. */

import {statSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

import {runCase, waitFor} from '../common-2/fleet.mjs';
import {createConfiguration, createRoute} from '../common-2/standIns.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Changes before the machine is down, and while it is: the latter in 3.4 s. */
const FIRST_CHANGES = 54;
const MISSED_CHANGES = 78;
const CHANGE_MILLISECONDS = 43;
const LAST_CHANGES = 5;
const DOWN_MILLISECONDS = 900;
const CATCH_UP_MILLISECONDS = 4_000;
const RECOVER_MILLISECONDS = 15_000;
const INSTALL_MILLISECONDS = 6_000;

function createChange(version) {
  return createConfiguration(version, {
    place: createRoute('orders.example', 'orders', {
      timeout_ms: 2_000 + version,
    }),
  });
}

/** Operator that builds each change on the one before. */
class Operator {
  newest = 0;
  #fleet;

  constructor(fleet) {
    this.#fleet = fleet;
  }

  /** Sends the next change; returns whether it was acknowledged. */
  async change() {
    const version = this.newest + 1;
    const status = await this.#fleet.putConfiguration(
      createChange(version),
      this.newest,
    );
    if (status === 200) {
      this.newest = version;
    }
    return status === 200;
  }

  async changeTimes(count) {
    for (let index = 0; index < count; index += 1) {
      const next = delay(CHANGE_MILLISECONDS);
      if (!(await this.change())) {
        return false;
      }
      await next;
    }
    this.#fleet.record(`acknowledged up to version ${String(this.newest)}`);
    return true;
  }
}

function getNode(path) {
  return statSync(path, {throwIfNoEntry: false})?.ino;
}

/** Waits without a pause until the file is replaced; returns whether it was in time. */
function watchReplacement(path, before) {
  const deadline = performance.now() + INSTALL_MILLISECONDS;
  while (performance.now() < deadline) {
    if (getNode(path) !== before) {
      return true;
    }
  }
  return false;
}

/** Starts the process and kills it while it stores what it has missed. */
async function killWhileCatchingUp(fleet, core) {
  const path = join(core.dataFolder, 'replica', 'snapshot');
  const before = getNode(path);
  const child = fleet.startProcess(core.host);
  const isReplaced = watchReplacement(path, before);
  child.kill('SIGKILL');
  fleet.record(
    `SIGKILL to the process of ${core.host} ${isReplaced ? 'while' : 'although not seen as'} it catches up`,
  );
  await delay(DOWN_MILLISECONDS);
  fleet.startProcess(core.host);
}

/** All core processes are killed at once, and one machine loses its disk. */
async function playFinalFault(fleet, wiped) {
  await Promise.all(fleet.cores.map(({host}) => fleet.kill(host)));
  fleet.wipe(wiped.host);
  await delay(DOWN_MILLISECONDS);
  for (const {host} of fleet.cores) {
    fleet.startProcess(host);
  }
}

/** Reads at all core machines until one answers; returns the version. */
async function readBack(fleet) {
  let version;
  await waitFor(async () => {
    for (const {host} of fleet.cores) {
      const {body, status} = await fleet.getConfiguration(host);
      if (status === 200) {
        ({version} = JSON.parse(body));
        fleet.record(`${host} answers a read with ${String(version)}`);
        return true;
      }
    }
    return false;
  }, RECOVER_MILLISECONDS + 3_000);
  return version;
}

async function play(fleet) {
  await fleet.start([
    {service: 'orders', slots: 20, work: 50, zone: 'uy-sur-a'},
    {service: 'orders', slots: 20, work: 50, zone: 'uy-sur-b'},
  ]);
  const operator = new Operator(fleet);
  const [, wiped, behind] = fleet.cores;
  if (!(await operator.changeTimes(FIRST_CHANGES))) {
    return 2;
  }
  await delay(CATCH_UP_MILLISECONDS);
  await fleet.kill(behind.host);
  if (!(await operator.changeTimes(MISSED_CHANGES))) {
    return 2;
  }
  if (HAS_TROUBLE) {
    await killWhileCatchingUp(fleet, behind);
  } else {
    fleet.startProcess(behind.host);
  }
  await delay(CATCH_UP_MILLISECONDS + 2_000);
  if (!(await operator.changeTimes(LAST_CHANGES))) {
    return 2;
  }
  await delay(CATCH_UP_MILLISECONDS);
  if (!(await operator.change())) {
    return 2;
  }
  fleet.record(`acknowledged version ${String(operator.newest)}; final fault`);
  await playFinalFault(fleet, wiped);
  const version = await readBack(fleet);
  const expected = `r${String(operator.newest)}`;
  fleet.record(`read back: ${String(version)}, acknowledged: ${expected}`);
  return version === expected ? 0 : 1;
}

await runCase('review/7/record.txt', play);
