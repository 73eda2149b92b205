/** Request listener of the administration API. */

import type {DaemonHost} from '../DaemonHost.js';
import type {
  AdministrationServices,
  QueryTimeline,
} from './AdministrationServices.js';
import type {RequestListener} from 'node:http';

import {getRequestListener} from '@hono/node-server';

import {createAdministrationApplication} from './createAdministrationApplication.js';
import {createHandlers} from './createHandlers.js';
import {TokenAuthorizer} from './TokenAuthorizer.js';

/**
 * Creates the listener.
 *
 * @example
 * server.on('request', createAdministrationListener(host, services, query));
 */
export function createAdministrationListener(
  host: DaemonHost,
  services: AdministrationServices,
  queryTimeline: QueryTimeline,
): RequestListener {
  const application = createAdministrationApplication({
    authorizer: new TokenAuthorizer(host.settings.administration),
    handlers: createHandlers(services, queryTimeline),
    metrics: host.metrics,
    onInternalError: (error) => {
      host.log.error({error}, 'administration request failed');
    },
    recordEvent: host.recordEvent,
  });
  const listener = getRequestListener(application.fetch);
  return (request, response) => {
    void listener(request, response);
  };
}
