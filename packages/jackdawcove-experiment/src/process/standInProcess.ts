/** Process that runs all stand-in backend servers of an experiment. */

import type {StandInReply, StandInRequest} from './ProcessMessages.js';

import {match} from 'ts-pattern';

import {StandInBackendServer} from '../standIn/StandInBackendServer.js';
import {standInRequestSchema} from './ProcessMessages.js';

const servers = new Map<string, StandInBackendServer>();

async function handleRequest(request: StandInRequest): Promise<StandInReply> {
  return match(request)
    .with({kind: 'command'}, async ({command, instance, requestNumber}) => {
      await servers.get(instance)?.applyCommand(command);
      return {requestNumber};
    })
    .with({kind: 'getExecutions'}, async ({requestNumber}) => {
      const entries = [...servers];
      const executions = entries.map(([instance, server]) => ({
        executions: server.getExecutions(),
        instance,
      }));
      return {executions, requestNumber};
    })
    .with({kind: 'start'}, async ({requestNumber, settings}) => {
      const server = new StandInBackendServer(settings);
      servers.set(settings.instance, server);
      const address = await server.start();
      return {address, requestNumber};
    })
    .exhaustive();
}

process.on('message', (message) => {
  const request = standInRequestSchema.parse(message);
  void handleRequest(request).then((reply) => process.send?.(reply));
});
process.on('disconnect', () => {
  process.exit(0);
});
