/** Handlers of the operations: they call the services of the daemon. */

import type {
  OperationInput,
  OperationName,
  OperationOutput,
} from './AdministrationEndpoints.js';
import type {
  AdministrationServices,
  QueryTimeline,
} from './AdministrationServices.js';
import type {Failure} from 'jackdawcove-shared';

import {Result} from 'true-myth';

type HandlerOutcome<Name extends OperationName> = Result<
  OperationOutput<Name>,
  Failure
>;

/** Handler of each operation. */
export type AdministrationHandlers = {
  readonly [Name in OperationName]: (
    input: OperationInput<Name>,
  ) => HandlerOutcome<Name> | Promise<HandlerOutcome<Name>>;
};

type Commands = Pick<
  AdministrationHandlers,
  'applyConfiguration' | 'changeVoters' | 'drain' | 'releaseQuarantine'
>;
type Queries = Omit<AdministrationHandlers, keyof Commands>;

function createCommands(services: AdministrationServices): Commands {
  const {configuration, drain, getStatus, quarantine} = services;
  return {
    applyConfiguration: (change) => configuration.propose(change),
    changeVoters: async (change) => {
      const changed = await configuration.changeVoters(change);
      return changed.map((voters) => ({voters: [...voters]}));
    },
    drain: () => {
      drain();
      const {daemon, isDraining} = getStatus();
      return Result.ok({daemon, isDraining});
    },
    releaseQuarantine: (release) =>
      quarantine
        .release(release)
        .map(() => ({entries: [...quarantine.getEntries()]})),
  };
}

function createQueries(
  services: AdministrationServices,
  queryTimeline: QueryTimeline,
): Queries {
  const {configuration, getMembers, getStatus, quarantine} = services;
  return {
    getAppliedConfiguration: () => Result.ok(configuration.getApplied()),
    getConfiguration: ({revision}) => configuration.read(revision),
    getConfigurationHistory: async () => {
      const history = await configuration.getHistory();
      return history.map((changes) => ({changes: [...changes]}));
    },
    getConfigurationStatus: async () => {
      const status = await configuration.getStatus();
      const {missing, voters} = status;
      return Result.ok({
        ...status,
        missing: [...missing],
        voters: [...voters],
      });
    },
    getMembers: () => Result.ok({members: [...getMembers()]}),
    getQuarantine: () => Result.ok({entries: [...quarantine.getEntries()]}),
    getStatus: () => Result.ok(getStatus()),
    getTimeline: async (filter) => Result.ok(await queryTimeline(filter)),
    getVoters: async () => {
      const {leader, voters} = await configuration.getStatus();
      return Result.ok({leader, voters: [...voters]});
    },
  };
}

/**
 * Creates the handlers for the services of a daemon.
 *
 * @example
 * const handlers = createHandlers(services, queryTimeline);
 */
export function createHandlers(
  services: AdministrationServices,
  queryTimeline: QueryTimeline,
): AdministrationHandlers {
  return {
    ...createCommands(services),
    ...createQueries(services, queryTimeline),
  };
}
