/** Registers the administration API with the daemon. */

import type {DaemonHost} from '../DaemonHost.js';
import type {AdministrationServices} from './AdministrationServices.js';
import type {Teardown} from 'jackdawcove-shared';
import type {Timeline} from 'jackdawcove-timeline';
import type {RequestListener, Server} from 'node:http';

import {randomUUID} from 'node:crypto';
import {createServer} from 'node:http';

import {createFailure, mergeTeardowns, RESULT_CODES} from 'jackdawcove-shared';

import {
  FLEET_QUERY_TICK_MILLISECONDS,
  MAXIMUM_CONNECTIONS,
  REQUEST_HEADER_BYTES,
  REQUEST_TIMEOUT_MILLISECONDS,
} from './AdministrationConstants.js';
import {administrationMessageSchema, FleetTimeline} from './FleetTimeline.js';
import {registerStatusMetrics} from './registerStatusMetrics.js';

const REQUEST_EVENT = 'request';

/**
 * Creates the HTTP server of the API. It answers `daemonStarting` until
 * `registerAdministration` replaces its listener, so that its port can be bound
 * first.
 *
 * @example
 * const server = createAdministrationServer();
 * server.listen(port, host);
 */
export function createAdministrationServer(): Server {
  const server = createServer({
    headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    maxHeaderSize: REQUEST_HEADER_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
  });
  server.maxConnections = MAXIMUM_CONNECTIONS;
  server.on(REQUEST_EVENT, (request, response) => {
    const {description, httpStatus, name, number} = RESULT_CODES.daemonStarting;
    request.resume();
    response.writeHead(httpStatus, {'content-type': 'application/json'});
    response.end(JSON.stringify({description, detail: '', name, number}));
  });
  return server;
}

/** Creates a listener that loads the actual one with the first request. */
function createLazyListener(
  load: () => Promise<RequestListener>,
  onError: (error: unknown) => void,
): RequestListener {
  let loading: Promise<RequestListener> | undefined;
  return (request, response) => {
    loading ??= load();
    loading
      .then((listener) => {
        listener(request, response);
      })
      .catch((error: unknown) => {
        onError(error);
        response.destroy();
      });
  };
}

function registerFleetTimeline(
  host: DaemonHost,
  fleetTimeline: FleetTimeline,
): Teardown {
  const {log, messenger, metrics, registerTicker} = host;
  return mergeTeardowns(
    messenger.registerListener('administration', (message, source) => {
      const parsed = administrationMessageSchema.safeParse(message);
      if (parsed.success) {
        fleetTimeline.receive(parsed.data, source.daemon);
        return;
      }
      metrics.increment('messages.malformed');
      log.warn(
        createFailure('frameMalformed', source.daemon),
        'malformed administration message dropped',
      );
    }),
    registerTicker(FLEET_QUERY_TICK_MILLISECONDS, () => {
      fleetTimeline.tick();
    }),
  );
}

function createFleetTimeline(
  host: DaemonHost,
  services: AdministrationServices,
  timeline: Timeline,
): FleetTimeline {
  const {clock, messenger, settings, wallClock} = host;
  return new FleetTimeline({
    clock,
    createIdentifier: randomUUID,
    daemon: settings.daemon.name,
    getMembers: services.getMembers,
    send: (to, message) => {
      messenger.send(to, 'administration', message);
    },
    timeline: {
      getDropped: () => timeline.getDropped(),
      getEvents: (filter) => timeline.getEvents(filter),
      getStamp: () => timeline.getStamp(),
      observe: (stamp) => {
        timeline.observe(stamp, wallClock());
      },
    },
  });
}

/**
 * Serves the administration API on a server from `createAdministrationServer`.
 *
 * @example
 * const teardown = registerAdministration(host, server, services, timeline);
 */
export function registerAdministration(
  host: DaemonHost,
  server: Server,
  services: AdministrationServices,
  timeline: Timeline,
): Teardown {
  const fleetTimeline = createFleetTimeline(host, services, timeline);
  const loadListener = async (): Promise<RequestListener> => {
    // Loaded with the first request, because every daemon has to start quickly
    // and few are ever asked.
    const {createAdministrationListener} =
      await import('./createAdministrationListener.js');
    return createAdministrationListener(host, services, (filter) =>
      fleetTimeline.query(filter),
    );
  };
  const serve = createLazyListener(loadListener, (error) => {
    host.log.error({error: String(error)}, 'administration API not loaded');
  });
  server.removeAllListeners(REQUEST_EVENT);
  server.on(REQUEST_EVENT, serve);
  return mergeTeardowns(
    registerFleetTimeline(host, fleetTimeline),
    registerStatusMetrics(host, services, timeline),
    () => {
      server.removeAllListeners(REQUEST_EVENT);
      server.close();
      server.closeIdleConnections();
    },
  );
}
