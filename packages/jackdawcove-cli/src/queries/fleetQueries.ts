/** Implements the queries of the members, the status, the voters and the quarantine. */

import type {Invocation, ToolAction, ToolOutcome} from '../ToolAction.js';

import {MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';

import {
  daemonStatusSchema,
  membersSchema,
  quarantineSchema,
  votersSchema,
} from '../client/AnswerSchemas.js';
import {formatTable} from '../ToolFormat.js';

const EMPTY_CELL = '-';

function formatSeconds(milliseconds: number): string {
  return `${String(Math.ceil(milliseconds / MILLISECONDS_PER_SECOND))} s`;
}

async function getMembers(invocation: Invocation): Promise<ToolOutcome> {
  const members = await invocation.client.query('/members', {}, membersSchema);
  return members.map((found) => ({
    json: found,
    lines: formatTable([
      [
        'vm',
        'region',
        'zone',
        'state',
        'voter',
        'service',
        'instance',
        'slots',
      ],
      ...found.members.map((member) => [
        member.name,
        member.region,
        member.availabilityZone,
        member.isDraining ? `${member.state}, draining` : member.state,
        member.isVoter ? 'yes' : 'no',
        member.backendServer?.service ?? EMPTY_CELL,
        member.backendServer?.instance ?? EMPTY_CELL,
        String(member.backendServer?.slots ?? EMPTY_CELL),
      ]),
    ]),
    result: 'ok',
  }));
}

async function getStatus(invocation: Invocation): Promise<ToolOutcome> {
  const status = await invocation.client.query(
    '/status',
    {},
    daemonStatusSchema,
  );
  return status.map((found) => {
    const {configuration, loads} = found;
    const {backendServer} = loads;
    const backendServerLine =
      backendServer === undefined
        ? 'no backend server is announced'
        : `${backendServer.service} ${backendServer.instance}: ${String(backendServer.inFlight)} of ${String(backendServer.limit)} in flight (${String(backendServer.slots)} slots), ${String(backendServer.queued)} queued, queueing delay ${backendServer.queueingDelayMilliseconds.toFixed(1)} ms`;
    return {
      json: found,
      lines: [
        `${found.daemon} in ${found.availabilityZone}, version ${found.version}, up ${formatSeconds(found.uptimeMilliseconds)}`,
        `ready ${found.isReady ? 'yes' : 'no'}, draining ${found.isDraining ? 'yes' : 'no'}`,
        `configuration revision ${String(configuration.revision)}${configuration.isConfirmed ? '' : ' (unconfirmed)'}`,
        `open calls ${String(loads.openCalls)}, buffered bytes ${String(loads.bufferedBytes)}, event loop delay ${loads.eventLoopDelayMilliseconds.toFixed(1)} ms, resident bytes ${String(loads.residentBytes)}`,
        backendServerLine,
      ],
      result: 'ok',
    };
  });
}

async function listVoters(invocation: Invocation): Promise<ToolOutcome> {
  const voters = await invocation.client.query('/voters', {}, votersSchema);
  return voters.map((found) => ({
    json: found,
    lines: found.voters.map((name) =>
      name === found.leader ? `${name} (leader)` : name,
    ),
    result: 'ok',
  }));
}

async function listQuarantine(invocation: Invocation): Promise<ToolOutcome> {
  const quarantine = await invocation.client.query(
    '/quarantine',
    {},
    quarantineSchema,
  );
  return quarantine.map((found) => ({
    json: found,
    lines:
      found.entries.length === 0
        ? ['no request is suspect or quarantined']
        : formatTable([
            ['fingerprint', 'service', 'state', 'crashes'],
            ...found.entries.map((entry) => [
              entry.fingerprint,
              entry.service,
              entry.suspicion,
              String(entry.crashes),
            ]),
          ]),
    result: 'ok',
  }));
}

function createQuery(
  name: string,
  summary: string,
  run: ToolAction['run'],
): ToolAction {
  return {
    kind: 'query',
    maximumArguments: 0,
    minimumArguments: 0,
    name,
    run,
    summary,
    usage: '',
  };
}

/** Queries of the members, the status, the voters and the quarantine. */
export const FLEET_QUERIES: readonly ToolAction[] = [
  createQuery('members', 'List the members the daemon knows.', getMembers),
  createQuery('status', 'Show the state and loads of the daemon.', getStatus),
  createQuery('voters list', 'List the voters.', listVoters),
  createQuery(
    'quarantine list',
    'List the quarantined requests.',
    listQuarantine,
  ),
];
