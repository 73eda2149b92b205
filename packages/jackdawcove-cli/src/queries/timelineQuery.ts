/** Implements the query of the merged timeline. */

import type {Invocation, ToolAction, ToolOutcome} from '../ToolAction.js';
import type {TimelineEvent} from 'jackdawcove-timeline';

import {formatStamp} from 'jackdawcove-timeline';
import {Result} from 'true-myth';

import {timelineAnswerSchema} from '../client/AnswerSchemas.js';
import {parseSince} from '../ToolFormat.js';

function formatEvent(event: TimelineEvent): string {
  const {availabilityZone, call, fields, kind, stamp, vm} = event;
  const fieldParts = Object.entries(fields).map(
    ([key, value]) => `${key}=${String(value)}`,
  );
  const callParts = call === undefined ? [] : [`call=${call}`];
  return [
    formatStamp(stamp),
    `${vm}/${availabilityZone}`,
    kind,
    ...callParts,
    ...fieldParts,
  ].join(' ');
}

async function getTimeline(invocation: Invocation): Promise<ToolOutcome> {
  const {client, dependencies, flags} = invocation;
  const {call, kind, vm} = flags;
  const since =
    flags.since === undefined
      ? Result.ok<number | undefined, never>(undefined)
      : parseSince(flags.since, dependencies.wallClock());
  if (since.isErr) {
    return Result.err(since.error);
  }
  const parameters = {call, kind, since: since.value, vm};
  const answer = await client.query(
    '/timeline',
    parameters,
    timelineAnswerSchema,
  );
  return answer.map((found) => ({
    json: found,
    lines: [
      ...found.events.map(formatEvent),
      ...(found.isTruncated ? ['truncated: narrow the filter'] : []),
      ...found.missing.map(
        ({daemon, reason}) => `not reached: ${daemon} (${reason})`,
      ),
    ],
    result: found.missing.length === 0 ? 'ok' : 'partialAnswer',
  }));
}

/** Query of the merged timeline. */
export const TIMELINE_QUERY: ToolAction = {
  kind: 'query',
  maximumArguments: 0,
  minimumArguments: 0,
  name: 'timeline',
  run: getTimeline,
  summary: 'Show the events of every daemon in reach in one order.',
  usage: '[--call ID] [--vm NAME] [--kind KIND] [--since 5m|TIME]',
};
