/** Stand-in for an application instance, as PROTOCOL.md describes one. */

import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

import {call} from './fleet.mjs';

const HEARTBEAT_MILLISECONDS = 1_500;

/** Seal of the answer to one request of one instance. */
export function createSeal(instance, identifier) {
  return `seal.${instance}.${identifier}`;
}

/** Serves requests, one after a work time, and sends heartbeats. */
export class Instance {
  #born = Date.now();
  #options;
  #running = 0;
  #sequence = 0;
  #server;
  #sockets = new Set();
  #timer;
  state = 'ready';

  /**
   * Options: control, host, id, port, record, service, slots and
   * drawWork, which returns the work time of a request. With makeCall, a run first makes
   * a call of its own, whose promise it waits for.
   */
  constructor(options) {
    this.#options = options;
    this.#server = createServer((incoming, outgoing) => {
      this.#serve(incoming, outgoing);
    });
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  get id() {
    return this.#options.id;
  }

  async start() {
    const {host, port} = this.#options;
    await new Promise((done) => this.#server.listen(port, host, done));
    this.#timer = setInterval(() => {
      void this.sendHeartbeat();
    }, HEARTBEAT_MILLISECONDS);
  }

  /** Creates the body of the next heartbeat. */
  createHeartbeat() {
    const {host, port, service, slots} = this.#options;
    this.#sequence += 1;
    return JSON.stringify({
      address: `${host}:${port}`,
      born: this.#born,
      seq: this.#sequence,
      service,
      slots,
      state: this.state,
      version: 'v1',
      warmup_left_ms: 0,
      zone: 'zone-a',
    });
  }

  sendBody(body) {
    return call(this.#options.control, 'PUT', `/instances/${this.id}`, {
      body,
      headers: {'content-type': 'application/json'},
    });
  }

  sendHeartbeat() {
    return this.sendBody(this.createHeartbeat());
  }

  sendDelete() {
    clearInterval(this.#timer);
    const body = JSON.stringify({born: this.#born});
    return call(this.#options.control, 'DELETE', `/instances/${this.id}`, {
      body,
      headers: {'content-type': 'application/json'},
    });
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #serve(incoming, outgoing) {
    const {drawWork, id, record, slots} = this.#options;
    const identifier = incoming.headers['x-jackdawcove-request-id'] ?? '';
    const expected = incoming.headers['x-jackdawcove-expect-instance'];
    const refuse = (status) => {
      incoming.resume();
      outgoing.writeHead(status, {
        'x-jackdawcove-not-executed': '1',
        'x-jackdawcove-request-id': identifier,
      });
      outgoing.end();
    };
    if (incoming.url === '/health') {
      outgoing.writeHead(this.state === 'ready' ? 200 : 503, {
        'x-jackdawcove-instance-id': id,
      });
      outgoing.end();
    } else if (expected !== undefined && expected !== id) {
      refuse(421);
    } else if (identifier === '') {
      refuse(400);
    } else if (this.#running >= slots) {
      refuse(503);
    } else {
      this.#running += 1;
      incoming.resume();
      record('run', {id: identifier, instance: id, method: incoming.method});
      this.#finishLater(incoming, outgoing, identifier, drawWork());
    }
  }

  /** Answers after the work, or at the deadline, and after the call of the run. */
  #finishLater(incoming, outgoing, identifier, workMilliseconds) {
    const {id, makeCall, record} = this.#options;
    const timeout = Number(
      incoming.headers['x-jackdawcove-deadline-ms'] ?? 60_000,
    );
    const isLate = timeout < workMilliseconds;
    let isEnded = false;
    const end = () => {
      if (!isEnded) {
        isEnded = true;
        this.#running -= 1;
      }
    };
    // An instance drops a request when its connection closes.
    outgoing.on('close', end);
    const call = makeCall?.(identifier, timeout) ?? Promise.resolve(true);
    const work = delay(Math.min(timeout, workMilliseconds));
    void Promise.all([call, work]).then(([isCallServed]) => {
      if (isEnded) {
        return;
      }
      end();
      const body = `answer of ${id} to ${identifier}`;
      record('done', {id: identifier, instance: id});
      outgoing.writeHead(isLate ? 504 : isCallServed ? 200 : 500, {
        'content-length': Buffer.byteLength(body),
        'x-jackdawcove-request-id': identifier,
        'x-jackdawcove-server-seal': createSeal(id, identifier),
      });
      outgoing.end(body);
    });
  }
}
