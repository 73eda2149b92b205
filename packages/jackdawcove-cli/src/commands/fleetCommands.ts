/** Implements the commands that drain a daemon and release quarantined requests. */

import type {Invocation, ToolAction, ToolOutcome} from '../ToolAction.js';

import {Result} from 'true-myth';

import {drainAnswerSchema, quarantineSchema} from '../client/AnswerSchemas.js';
import {requireOrigin} from '../ToolInput.js';

async function drainDaemon(invocation: Invocation): Promise<ToolOutcome> {
  const origin = requireOrigin(invocation);
  if (origin.isErr) {
    return Result.err(origin.error);
  }
  const answer = await invocation.client.command(
    '/drain',
    origin.value,
    drainAnswerSchema,
  );
  return answer.map((found) => ({
    json: found,
    lines: [`${found.daemon}: draining ${found.isDraining ? 'yes' : 'no'}`],
    result: 'ok',
  }));
}

async function releaseQuarantine(invocation: Invocation): Promise<ToolOutcome> {
  const [fingerprint = ''] = invocation.arguments;
  const origin = requireOrigin(invocation);
  if (origin.isErr) {
    return Result.err(origin.error);
  }
  const answer = await invocation.client.command(
    '/quarantine/releases',
    {...origin.value, fingerprint},
    quarantineSchema,
  );
  return answer.map((found) => ({
    json: found,
    lines: [`released ${fingerprint}`],
    result: 'ok',
  }));
}

/** Commands that drain a daemon and release quarantined requests. */
export const FLEET_COMMANDS: readonly ToolAction[] = [
  {
    kind: 'command',
    maximumArguments: 0,
    minimumArguments: 0,
    name: 'drain',
    run: drainDaemon,
    summary: 'Drain the daemon and its backend server before a planned stop.',
    usage: '--reason TEXT [--author NAME]',
  },
  {
    kind: 'command',
    maximumArguments: 1,
    minimumArguments: 1,
    name: 'quarantine release',
    run: releaseQuarantine,
    summary: 'Release a quarantined request in the whole fleet.',
    usage: 'FINGERPRINT --reason TEXT [--author NAME]',
  },
];
