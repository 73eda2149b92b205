/** Stand-in for a client: one connection, one request at a time. */

import {randomBytes} from 'node:crypto';
import {Agent, request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

const PROMISES = new Set([408, 421, 429, 503]);

/** Sends requests on connections that it keeps, at a rate, until it is stopped. */
export class Client {
  #agent = new Agent({keepAlive: true});
  #isStopped = false;
  #options;

  /** Options: address, headers, hostName, method, path, record, timeout. */
  constructor(options) {
    this.#options = options;
  }

  /** Sends requests at a rate; each may be sent once more, under another id. */
  async run(requestsPerSecond) {
    const open = [];
    while (!this.#isStopped) {
      open.push(this.#sendWithRetry());
      await delay((-Math.log(1 - Math.random()) * 1_000) / requestsPerSecond);
    }
    await Promise.all(open);
    this.#agent.destroy();
  }

  /** Sends one request after the other. */
  async runInTurn() {
    while (!this.#isStopped) {
      await this.#sendWithRetry();
    }
    this.#agent.destroy();
  }

  stop() {
    this.#isStopped = true;
  }

  /** A request that may have run is only repeated if it is idempotent. */
  async #sendWithRetry() {
    const {method} = this.#options;
    const answer = await this.send();
    const isUnread = answer.isRefused || PROMISES.has(answer.status);
    const isFailed = answer.status === 0 || answer.status >= 500;
    if (isUnread || (isFailed && method === 'GET')) {
      await delay(Number(answer.headers['retry-after'] ?? 0.2) * 1_000);
      if (!this.#isStopped) {
        await this.send();
      }
    }
  }

  /** Sends one request and returns what came back; status 0 is a closed connection. */
  send() {
    const {method, record} = this.#options;
    const id = randomBytes(8).toString('hex');
    record('sent', {id, method, to: this.#options.address});
    return new Promise((done) => {
      const outgoing = this.#open(id);
      let isRefused = false;
      const finish = (status, headers, body) => {
        record('answer', {
          body: body.slice(0, 120),
          echoed: headers['x-jackdawcove-request-id'],
          id,
          isKept: outgoing.reusedSocket,
          isRefused,
          seal: headers['x-jackdawcove-server-seal'],
          status,
        });
        done({body, headers, isRefused, status});
      };
      outgoing.on('response', (incoming) => {
        const chunks = [];
        incoming.on('data', (chunk) => chunks.push(chunk));
        incoming.on('error', () => finish(0, {}, ''));
        incoming.on('end', () => {
          const body = Buffer.concat(chunks).toString();
          finish(incoming.statusCode, incoming.headers, body);
        });
      });
      outgoing.on('error', ({code}) => {
        isRefused = code === 'ECONNREFUSED';
        finish(0, {}, '');
      });
      outgoing.end(this.#options.body);
    });
  }

  /** Opens a request with the headers of the platform. */
  #open(id) {
    const {
      address,
      body = Buffer.alloc(0),
      headers = {},
      hostName,
      method,
      path,
      timeout,
    } = this.#options;
    const [host, port] = address.split(':');
    const outgoing = request({
      agent: this.#agent,
      headers: {
        ...headers,
        host: hostName,
        'x-jackdawcove-deadline-ms': String(timeout),
        'x-jackdawcove-request-id': id,
        ...(method === 'POST' ? {'content-length': body.length} : {}),
      },
      host,
      method,
      path,
      port,
    });
    outgoing.setTimeout(timeout + 500, () => outgoing.destroy());
    return outgoing;
  }
}
