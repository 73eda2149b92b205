/** Starts the programs of the deploy file on loopback, one host a machine. */

import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const FIRST_PORT = 20_000;
const LAST_PORT = 30_000;

/** Returns program and arguments of a role of the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const [, command = ''] = /^run = "(.*)"$/m.exec(section) ?? [];
  return command.split(' ');
}

async function isFree(host, port) {
  const server = createServer();
  server.listen(port, host);
  try {
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  return true;
}

/** Sends one HTTP request of the platform and returns its status and body. */
export function call(address, method, path, {body = '', headers = {}} = {}) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const outgoing = request(
      {
        agent: false,
        headers: {
          ...(body === '' ? {} : {'content-length': Buffer.byteLength(body)}),
          ...headers,
        },
        host,
        method,
        path,
        port,
        timeout: 3_000,
      },
      (incoming) => {
        const chunks = [];
        incoming.on('data', (chunk) => chunks.push(chunk));
        incoming.on('error', () => done({body: '', status: 0}));
        incoming.on('end', () =>
          done({
            body: Buffer.concat(chunks).toString(),
            status: incoming.statusCode,
          }),
        );
      },
    );
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => done({body: '', status: 0}));
    outgoing.end(body);
  });
}

/** Waits until a condition holds; throws after 30 seconds. */
export async function waitFor(isDone, what) {
  const deadline = performance.now() + 30_000;
  while (!(await isDone())) {
    if (performance.now() > deadline) {
      throw new Error(`timed out: ${what}`);
    }
    await delay(50);
  }
}

/** Machines of a small deployment: three of class core and some of class sidecar. */
export class Fleet {
  #children = new Map();
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #prefix = '';
  bounds = [
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
    'budget_slack=50',
    'recover_s=15',
  ];
  cores = [];
  memoryMegabytes = 350;
  ports = {};

  /** Chooses a loopback network and ports that nobody uses. */
  async prepare() {
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const prefix = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
      const base = randomInt(FIRST_PORT, LAST_PORT);
      const free = await Promise.all(
        Array.from({length: 30}, (_, offset) =>
          isFree(`${prefix}.1`, base + offset),
        ),
      );
      if (free.every(Boolean)) {
        this.#prefix = prefix;
        this.ports = {
          app: base + 1,
          control: base + 6,
          inbound: base,
          internal: [base + 10, base + 25],
          outbound: base + 4,
          ready: base + 2,
        };
        return;
      }
    }
    throw new Error('no free ports');
  }

  getHost(number) {
    return `${this.#prefix}.${number}`;
  }

  getAddress(host, name) {
    return `${host}:${this.ports[name]}`;
  }

  startCores() {
    this.cores = [1, 2, 3].map((number) => this.getHost(number));
    for (const [index, host] of this.cores.entries()) {
      const dataFolder = join(this.#folder, `data-${host}`);
      mkdirSync(dataFolder);
      this.#write(host, 'core', ZONES[index], {dataFolder});
      this.startProcess(host);
    }
  }

  startSidecar(host, service, zone = ZONES[0]) {
    this.#write(host, 'sidecar', zone, {service});
    this.startProcess(host);
  }

  /** Starts the process of a machine with its present settings file. */
  startProcess(host) {
    const isCore = this.cores.includes(host);
    const [program, ...words] = readCommand(isCore ? 'control' : 'daemon');
    const output = openSync(join(this.#folder, `${host}.log`), 'a');
    const child = spawn(join(ROOT, program), words, {
      cwd: ROOT,
      env: {
        HOME: process.env.HOME,
        JACKDAWCOVE_SETTINGS: this.#getSettingsPath(host),
        LANG: 'C.UTF-8',
        PATH: process.env.PATH,
      },
      stdio: ['ignore', output, output],
    });
    this.#children.set(host, child);
    return child;
  }

  /** A start after the first one, as the platform does it. */
  startAgain(host) {
    const path = this.#getSettingsPath(host);
    const text = readFileSync(path, 'utf8');
    writeFileSync(path, text.replace('bootstrap = true', 'bootstrap = false'));
    return this.startProcess(host);
  }

  signal(host, name) {
    this.#children.get(host)?.kill(name);
  }

  async waitForExit(host) {
    const child = this.#children.get(host);
    if (child.exitCode === null && child.signalCode === null) {
      await once(child, 'exit');
    }
  }

  /** Returns the process identifier of the newest process of a machine. */
  pid(host) {
    return this.#children.get(host)?.pid;
  }

  /** Sends a configuration as the operator does, until it gets a clear answer. */
  async putConfiguration(configuration, base) {
    let answer = {status: 0};
    let turn = 0;
    await waitFor(async () => {
      const host = this.cores[turn % this.cores.length];
      turn += 1;
      answer = await call(this.getAddress(host, 'control'), 'PUT', '/config', {
        body: JSON.stringify(configuration),
        headers: {'content-type': 'application/json', 'if-match': base},
      });
      return answer.status > 0 && answer.status < 500;
    }, 'the configuration is acknowledged');
    return answer.status;
  }

  async isReady(host) {
    const {status} = await call(
      this.getAddress(host, 'ready'),
      'GET',
      '/readiness',
    );
    return status === 200;
  }

  async stop() {
    for (const child of this.#children.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(
      [...this.#children.keys()].map((host) => this.waitForExit(host)),
    );
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, {force: true, recursive: true});
    } else {
      process.stdout.write(`${this.#folder}\n`);
    }
  }

  #getSettingsPath(host) {
    return join(this.#folder, `${host}.toml`);
  }

  #write(host, machineClass, zone, {dataFolder, service}) {
    const {ports} = this;
    const isCore = machineClass === 'core';
    const seeds = this.cores.map((core) => `"${core}:${ports.control}"`);
    const lines = [
      `node = "${machineClass}-${host}"`,
      `role = "${isCore ? 'control' : 'daemon'}"`,
      `machine_class = "${machineClass}"`,
      `serves = ["${isCore ? 'control_plane' : 'sidecar'}"]`,
      `ip = "${host}"`,
      `zone = "${zone}"`,
      'region = "region-a"',
      `internal_port_range = ${JSON.stringify(ports.internal)}`,
      `seeds = [${seeds.join(',')}]`,
      'bootstrap = true',
      `in_fault_budget = ${isCore}`,
      'discovery = "static"',
      'entry = "static"',
      'heartbeat_ms = 1500',
      'contracts = ["base","drain","config","cost","retry","recover","pressure"]',
      `bounds = ${JSON.stringify(this.bounds)}`,
      ...(isCore ? [`data_dir = "${dataFolder}"`] : []),
      ...(isCore
        ? []
        : [`app = "${host}:${ports.app}"`, `service = "${service}"`]),
      '[zones]',
      ...ZONES.map((name) => `${name} = "region-a"`),
      '[listen]',
      `control = "${host}:${ports.control}"`,
      ...(isCore
        ? []
        : ['inbound', 'outbound', 'ready'].map(
            (name) => `${name} = "${host}:${ports[name]}"`,
          )),
      '[limits]',
      'cpu_share = 0.54',
      'cores = 2',
      `memory_mb = ${this.memoryMegabytes}`,
      'max_fds = 4100',
      'link_mbps = 1000.0',
      `disk_mb = ${isCore ? 256 : 0}`,
      '[fault_tolerance]',
      'machines = 1',
      'zones = 1',
      'regions = 0',
    ];
    writeFileSync(this.#getSettingsPath(host), `${lines.join('\n')}\n`);
  }
}
