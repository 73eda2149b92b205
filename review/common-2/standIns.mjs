/** Instances, clients and configurations that follow the pages of the platform. */

import {Agent, createServer, request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {PORTS, send} from './fleet.mjs';

const HEARTBEAT_MILLISECONDS = 1_500;

/** Creates a route of a configuration. */
export function createRoute(host, service, fields = {}) {
  return {
    attempts: 2,
    host,
    kind: 'idempotent',
    path_prefix: '/',
    priority: 1,
    service,
    target_latency_ms: 1_500,
    timeout_ms: 5_000,
    ...fields,
  };
}

/** Creates a configuration of routes by name. */
export function createConfiguration(version, routes) {
  const names = new Set(Object.values(routes).map(({service}) => service));
  const services = {};
  for (const name of names) {
    services[name] = {
      health_path: '/health',
      max_connections: 300,
      protocol: 'h1',
      tls: false,
    };
  }
  return {
    limits: {
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      max_body_bytes: 67_108_864,
      max_header_bytes: 16_384,
    },
    routes,
    services,
    version: `r${String(version)}`,
  };
}

/** Application instance beside the daemon of a sidecar machine. */
export class Instance {
  /** Requests that have begun to run, with their times. */
  arrivals = [];
  isServing = false;
  #born = Date.now();
  #fleet;
  #heartbeatTimer;
  #machine;
  #running = 0;
  #sequence = 0;
  #server;
  #sockets = new Set();
  #state = 'ready';

  constructor(fleet, machine) {
    this.#fleet = fleet;
    this.#machine = machine;
    this.id = `i-${machine.host.replaceAll('.', '')}`;
    this.#server = createServer(
      {keepAliveTimeout: 10_000},
      (incoming, outgoing) => {
        void this.#answer(incoming, outgoing);
      },
    );
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  /** Listens and sends a heartbeat in each interval. */
  start() {
    this.isServing = true;
    this.#server.listen(PORTS.app, this.#machine.host);
    void this.heartbeat();
    this.#heartbeatTimer = setInterval(() => {
      void this.heartbeat();
    }, HEARTBEAT_MILLISECONDS);
  }

  stopHeartbeats() {
    clearInterval(this.#heartbeatTimer);
  }

  /** Sends a heartbeat that takes a while on its way; returns the status of its answer. */
  async heartbeat(lateMilliseconds = 0) {
    this.#sequence += 1;
    const body = JSON.stringify({
      address: `${this.#machine.host}:${String(PORTS.app)}`,
      born: this.#born,
      seq: this.#sequence,
      service: this.#machine.service,
      slots: this.#machine.slots,
      state: this.#state,
      version: 'v1',
      warmup_left_ms: 0,
      zone: this.#machine.zone,
    });
    const sequence = this.#sequence;
    if (lateMilliseconds > 0) {
      this.#fleet.record(
        `${this.id} sends heartbeat ${String(sequence)}, ${String(lateMilliseconds)} ms on its way`,
      );
      await delay(lateMilliseconds);
    }
    const {error, status} = await this.#call('PUT', body);
    if (lateMilliseconds > 0) {
      this.#fleet.record(
        `${this.id} heartbeat ${String(sequence)} answered ${String(status ?? error)}`,
      );
    }
    return status;
  }

  /** Withdraws, and serves on; returns the status of the answer. */
  async withdraw() {
    this.stopHeartbeats();
    const {error, status} = await this.#call('DELETE');
    this.#fleet.record(`${this.id} DELETE answered ${String(status ?? error)}`);
    return status;
  }

  /** Ends the process of the instance. */
  exit() {
    this.isServing = false;
    this.stopHeartbeats();
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#fleet.record(
      `${this.id} exits with ${String(this.#running)} requests at work`,
    );
  }

  #call(method, body) {
    const url = `http://${this.#machine.host}:${String(PORTS.control)}/instances/${this.id}`;
    return send(url, {
      body,
      headers: {'content-type': 'application/json'},
      method,
    });
  }

  async #answer(incoming, outgoing) {
    const {headers, method, url} = incoming;
    const id = headers['x-jackdawcove-request-id'];
    const chunks = [];
    try {
      for await (const chunk of incoming) {
        chunks.push(chunk);
      }
    } catch {
      // The connection closed before the request was complete, so it does not run.
      return;
    }
    const refuse = (status) => {
      outgoing.writeHead(status, {
        'x-jackdawcove-not-executed': '1',
        ...(id === undefined ? {} : {'x-jackdawcove-request-id': id}),
      });
      outgoing.end();
    };
    if (url === '/health') {
      outgoing.writeHead(this.#state === 'ready' ? 200 : 503, {
        'x-jackdawcove-instance-id': this.id,
      });
      outgoing.end();
      return;
    }
    const expected = headers['x-jackdawcove-expect-instance'];
    if (id === undefined || (expected !== undefined && expected !== this.id)) {
      refuse(id === undefined ? 400 : 421);
      return;
    }
    if (this.#running >= this.#machine.slots) {
      refuse(503);
      return;
    }
    const body = Buffer.concat(chunks).toString();
    this.arrivals.push({at: performance.now(), body, id, method, url});
    this.#running += 1;
    let isClosed = false;
    outgoing.on('close', () => {
      isClosed = true;
    });
    await delay(this.#machine.work);
    this.#running -= 1;
    if (isClosed) {
      return;
    }
    outgoing.writeHead(200, {
      'x-jackdawcove-request-id': id,
      'x-jackdawcove-server-seal': `${this.id}.${id}`,
    });
    outgoing.end(
      `answer of ${this.id} to ${id} with ${String(body.length)} bytes`,
    );
  }
}

let lastNumber = 0;

/** Creates the identifier of a client attempt. */
export function createIdentifier() {
  lastNumber += 1;
  return `${Math.floor(Math.random() * 2 ** 32)
    .toString(16)
    .padStart(8, '0')}${lastNumber.toString(16).padStart(8, '0')}`;
}

/** Client that sends requests to the daemon of its own machine, over kept connections. */
export class Client {
  outcomes = [];
  #agent = new Agent({keepAlive: true});
  #machine;

  constructor(machine) {
    this.#machine = machine;
  }

  /** Sends one client attempt; resolves with its outcome. */
  send({body = '', deadline = 5_000, host, method = 'GET', path = '/'}) {
    const id = createIdentifier();
    const sentAt = performance.now();
    return new Promise((resolve) => {
      const finish = (outcome) => {
        const whole = {
          ...outcome,
          answeredAt: performance.now(),
          id,
          method,
          sentAt,
        };
        this.outcomes.push(whole);
        resolve(whole);
      };
      const outgoing = request({
        agent: this.#agent,
        headers: {
          'content-length': Buffer.byteLength(body),
          host,
          'x-jackdawcove-deadline-ms': String(deadline),
          'x-jackdawcove-request-id': id,
        },
        host: this.#machine.host,
        method,
        path,
        port: PORTS.outbound,
        timeout: deadline,
      });
      outgoing.on('response', (incoming) => {
        const chunks = [];
        incoming.on('data', (chunk) => chunks.push(chunk));
        incoming.on('error', (error) => finish({error: error.message}));
        incoming.on('end', () => {
          finish({
            body: Buffer.concat(chunks).toString(),
            retryAfter: Number(incoming.headers['retry-after'] ?? 0),
            seal: incoming.headers['x-jackdawcove-server-seal'],
            status: incoming.statusCode,
          });
        });
      });
      outgoing.on('timeout', () => outgoing.destroy(new Error('deadline')));
      outgoing.on('error', (error) => finish({error: error.message}));
      outgoing.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}

/** Sends requests at an interval until it is stopped; returns the function that stops it. */
export function press(client, createRequest, intervalMilliseconds) {
  const timer = setInterval(() => {
    void client.send(createRequest());
  }, intervalMilliseconds);
  return () => clearInterval(timer);
}
