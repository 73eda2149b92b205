/**
 * Starts the programs of the deploy file on loopback addresses, with settings like those
 * of a small deployment: three core machines with a disk and some sidecar machines.
 */

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

export const PORTS = {
  app: 8_301,
  control: 8_306,
  outbound: 8_304,
  ready: 8_302,
};
const INTERNAL_PORTS = [7_620, 7_635];
export const ZONES = ['uy-sur-a', 'uy-sur-b', 'uy-sur-c'];
const HEARTBEAT_MILLISECONDS = 1_500;

/** Bounds of the site file tsp-mesh. */
const BOUNDS = [
  'seed_lag_s=3',
  'reuse_after_s=2',
  'contact_ms=3000',
  'ack_ms=4000',
  'catch_up_s=4',
  'drain_ms=2000',
  'grace_s=6',
  'loss_slack_ms=200',
  'config_ms=2000',
  'rollback_slack_ms=250',
  'max_skew_ms=5000',
  'retry_budget_ratio=0.2',
  'budget_window_s=10',
  'budget_slack=48',
  'recover_s=15',
];

/** Reads the command `run` of the role on a class of machines. */
function readCommand(machineClass) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const role = text
    .split(/^\[roles\./m)
    .slice(1)
    .find((section) => section.includes(`on = "${machineClass}"`));
  return /^run = "(.*)"$/m.exec(role)[1].split(' ');
}

/** Sends one HTTP request; resolves with status, headers and body, or with an error. */
export function send(
  url,
  {body, headers = {}, method = 'GET', timeout = 1_000},
) {
  return new Promise((resolve) => {
    const outgoing = request(url, {
      agent: false,
      headers: {...headers, 'content-length': Buffer.byteLength(body ?? '')},
      method,
      timeout,
    });
    outgoing.on('response', (incoming) => {
      const chunks = [];
      incoming.on('data', (chunk) => chunks.push(chunk));
      incoming.on('error', (error) => resolve({error: error.message}));
      incoming.on('end', () => {
        resolve({
          body: Buffer.concat(chunks).toString(),
          headers: incoming.headers,
          status: incoming.statusCode,
        });
      });
    });
    outgoing.on('timeout', () => outgoing.destroy(new Error('no answer')));
    outgoing.on('error', (error) => resolve({error: error.message}));
    outgoing.end(body);
  });
}

async function isFree(host, port) {
  const server = createServer();
  server.listen(port, host);
  const isBound = await Promise.race([
    once(server, 'listening').then(() => true),
    once(server, 'error').then(() => false),
  ]);
  if (isBound) {
    server.close();
    await once(server, 'close');
  }
  return isBound;
}

/** Finds a loopback network on whose hosts the ports of the fleet are free. */
async function findPrefix() {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const number = 20 + Math.floor(Math.random() * 200);
    const prefix = `127.${String(number)}.${String(process.pid % 250)}`;
    const ports = [...Object.values(PORTS), ...INTERNAL_PORTS, 7_634];
    const free = await Promise.all(
      ports.map((port) => isFree(`${prefix}.1`, port)),
    );
    if (free.every(Boolean)) {
      return prefix;
    }
  }
  throw new Error('no free loopback addresses');
}

/** Machines of one deployment. */
export class Fleet {
  cores = [];
  sidecars = [];
  #children = new Map();
  #commands = {core: readCommand('core'), sidecar: readCommand('sidecar')};
  #folder = mkdtempSync(join(tmpdir(), 'review-2-'));
  #prefix;
  #recordPath;
  #startedAt = performance.now();

  constructor(recordPath) {
    this.#recordPath = recordPath;
    writeFileSync(recordPath, '');
  }

  /** Writes a line with the time since the start to the record. */
  record(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#recordPath, `${seconds.padStart(8)} ${text}\n`);
  }

  /** Starts all processes; `sidecars` holds one description a machine. */
  async start(sidecars, coreCount = 3) {
    this.#prefix = await findPrefix();
    for (let index = 0; index < coreCount; index += 1) {
      const host = `${this.#prefix}.${String(index + 1)}`;
      const dataFolder = join(this.#folder, `data-${host}`);
      this.cores.push({dataFolder, host, zone: ZONES[index % ZONES.length]});
    }
    sidecars.forEach((description, index) => {
      const host = `${this.#prefix}.${String(index + 11)}`;
      this.sidecars.push({...description, host});
    });
    for (const core of this.cores) {
      mkdirSync(core.dataFolder);
      this.startProcess(core.host, true);
    }
    for (const {host} of this.sidecars) {
      this.startProcess(host, true);
    }
  }

  /** Starts the process of a machine with its present settings. */
  startProcess(host, isBootstrap = false) {
    const path = join(this.#folder, `${host}.toml`);
    const core = this.cores.find((machine) => machine.host === host);
    const sidecar = this.sidecars.find((machine) => machine.host === host);
    const lines = core
      ? this.#createCoreSettings(core, isBootstrap)
      : this.#createSidecarSettings(sidecar, isBootstrap);
    writeFileSync(path, `${lines.join('\n')}\n`);
    const [program, ...words] = this.#commands[core ? 'core' : 'sidecar'];
    const child = spawn(program, words, {
      env: {
        HOME: process.env.HOME,
        JACKDAWCOVE_SETTINGS: path,
        PATH: process.env.PATH,
      },
      stdio: 'ignore',
    });
    this.#children.set(host, child);
    child.once('exit', (code, signal) => {
      this.record(`process of ${host} ended: ${String(signal ?? code)}`);
    });
    this.record(`process of ${host} started`);
    return child;
  }

  /** Sends a signal to the process of a machine that this fleet started. */
  signal(host, name) {
    this.record(`${name} to the process of ${host}`);
    this.#children.get(host).kill(name);
  }

  getProcess(host) {
    return this.#children.get(host);
  }

  /** Kills the process of a machine and waits for its end. */
  async kill(host) {
    const child = this.#children.get(host);
    const ended = once(child, 'exit');
    this.signal(host, 'SIGKILL');
    await ended;
  }

  /** Empties the disk of a core machine whose process has ended. */
  wipe(host) {
    const {dataFolder} = this.cores.find((core) => core.host === host);
    rmSync(dataFolder, {force: true, recursive: true});
    mkdirSync(dataFolder);
    this.record(`disk of ${host} emptied`);
  }

  /** Sends a configuration until it gets a clear answer; returns its status. */
  async putConfiguration(document, base, seconds = 20) {
    const deadline = performance.now() + seconds * 1_000;
    const body = JSON.stringify(document);
    for (let turn = 0; performance.now() < deadline; turn += 1) {
      const {host} = this.cores[turn % this.cores.length];
      const {status} = await send(
        `http://${host}:${String(PORTS.control)}/config`,
        {
          body,
          headers: {
            'content-type': 'application/json',
            'if-match': `r${String(base)}`,
          },
          method: 'PUT',
        },
      );
      if ([200, 400, 409, 412, 413, 422].includes(status)) {
        return status;
      }
      await delay(20);
    }
    return 0;
  }

  getConfiguration(host, timeout = 1_000) {
    return send(`http://${host}:${String(PORTS.control)}/config`, {timeout});
  }

  /** Ends all processes that this fleet started, and removes its folder. */
  async stop() {
    for (const child of this.#children.values()) {
      if (child.exitCode === null && child.signalCode === null) {
        const ended = once(child, 'exit');
        child.kill('SIGKILL');
        await ended;
      }
    }
    rmSync(this.#folder, {force: true, recursive: true});
  }

  #createCommonSettings({host, zone}, machineClass, isBootstrap) {
    const seeds = this.cores
      .slice(0, 3)
      .map((core) => `"${core.host}:${String(PORTS.control)}"`);
    return [
      `node = "${machineClass}-${host}"`,
      `role = "${machineClass === 'core' ? 'control' : 'daemon'}"`,
      `machine_class = "${machineClass}"`,
      `serves = ["${machineClass === 'core' ? 'control_plane' : 'sidecar'}"]`,
      `ip = "${host}"`,
      `zone = "${zone}"`,
      'region = "uy-sur"',
      `internal_port_range = [${INTERNAL_PORTS.join(',')}]`,
      `seeds = [${seeds.join(',')}]`,
      `bootstrap = ${String(isBootstrap)}`,
      `in_fault_budget = ${String(machineClass === 'core')}`,
      'discovery = "static"',
      'entry = "static"',
      `heartbeat_ms = ${String(HEARTBEAT_MILLISECONDS)}`,
      'contracts = ["base","drain","config","cost","retry","recover","pressure"]',
      `bounds = ${JSON.stringify(BOUNDS)}`,
    ];
  }

  #createCoreSettings(core, isBootstrap) {
    return [
      ...this.#createCommonSettings(core, 'core', isBootstrap),
      `data_dir = "${core.dataFolder}"`,
      '[listen]',
      `control = "${core.host}:${String(PORTS.control)}"`,
      ...createLastSections(346, 256),
    ];
  }

  #createSidecarSettings(sidecar, isBootstrap) {
    const {host, service} = sidecar;
    return [
      ...this.#createCommonSettings(sidecar, 'sidecar', isBootstrap),
      `service = "${service}"`,
      `app = "${host}:${String(PORTS.app)}"`,
      '[listen]',
      `inbound = "${host}:8300"`,
      `outbound = "${host}:${String(PORTS.outbound)}"`,
      `ready = "${host}:${String(PORTS.ready)}"`,
      `control = "${host}:${String(PORTS.control)}"`,
      ...createLastSections(350, 0),
    ];
  }
}

function createLastSections(memory, disk) {
  return [
    '[zones]',
    ...ZONES.map((zone) => `${zone} = "uy-sur"`),
    '[limits]',
    'cpu_share = 0.81',
    'cores = 1',
    `memory_mb = ${String(memory)}`,
    'max_fds = 4096',
    'link_mbps = 1000.0',
    `disk_mb = ${String(disk)}`,
    '[fault_tolerance]',
    'machines = 1',
    'zones = 1',
    'regions = 0',
  ];
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitFor(isDone, milliseconds = 20_000) {
  const deadline = performance.now() + milliseconds;
  while (!(await isDone())) {
    if (performance.now() > deadline) {
      return false;
    }
    await delay(50);
  }
  return true;
}

/** Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if it couldn't run. */
export async function runCase(recordPath, play) {
  const fleet = new Fleet(recordPath);
  let code = 2;
  try {
    code = await play(fleet);
  } catch (error) {
    fleet.record(`could not run: ${String(error)}`);
  }
  await fleet.stop();
  fleet.record(
    ['result: held', 'result: broken', 'result: could not run'][code],
  );
  process.exit(code);
}
