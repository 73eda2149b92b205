/** Process that holds every stand-in backend server of an experiment. */

import type {StandInReply, StandInRequest} from './ProcessMessages.js';

import {match} from 'ts-pattern';

import {StandInBackendServer} from '../standIn/StandInBackendServer.js';
import {standInRequestSchema} from './ProcessMessages.js';

const servers = new Map<string, StandInBackendServer>();

async function handle(request: StandInRequest): Promise<StandInReply> {
  return match(request)
    .with({kind: 'command'}, async ({command, instance, request: number}) => {
      await servers.get(instance)?.command(command);
      return {request: number};
    })
    .with({kind: 'getRuns'}, async ({request: number}) => {
      const entries = [...servers];
      const runs = entries.map(([instance, server]) => ({
        instance,
        runs: server.getRuns(),
      }));
      return {request: number, runs};
    })
    .with({kind: 'start'}, async ({request: number, settings}) => {
      const server = new StandInBackendServer(settings);
      servers.set(settings.instance, server);
      const address = await server.start();
      return {address, request: number};
    })
    .exhaustive();
}

process.on('message', (message) => {
  const request = standInRequestSchema.parse(message);
  void handle(request).then((reply) => process.send?.(reply));
});
process.on('disconnect', () => {
  process.exit(0);
});
