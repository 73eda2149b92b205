/** Implements the queries of the fleet configuration. */

import type {
  Invocation,
  ToolAction,
  ToolOutcome,
  ToolOutput,
} from '../ToolAction.js';
import type {LoadedDocument} from '../ToolInput.js';
import type {Failure} from 'jackdawcove-shared';
import type {z} from 'zod';

import {
  DEFAULT_CONFIGURATION_TEXT,
  diffConfigurations,
  digestConfiguration,
  formatConfigurationFault,
  formatDifference,
  parseFleetConfiguration,
} from 'jackdawcove-configuration';
import {Result} from 'true-myth';

import {
  configurationRecordSchema,
  configurationStatusSchema,
  historySchema,
} from '../client/AnswerSchemas.js';
import {formatRevisionComment} from '../RevisionComment.js';
import {formatTable, formatTime} from '../ToolFormat.js';
import {loadDocument, parseDocumentText, readDocument} from '../ToolInput.js';

function checkConfiguration(invocation: Invocation): Promise<ToolOutcome> {
  const [path = ''] = invocation.arguments;
  const outcome = readDocument(invocation, path).map((text) =>
    parseFleetConfiguration(text).match<ToolOutput>({
      Err: (faults) => ({
        json: {faults, isValid: false},
        lines: faults.map(
          (fault) => `${path}: ${formatConfigurationFault(fault)}`,
        ),
        result: 'invalidConfiguration',
      }),
      Ok: (configuration) => {
        const digest = digestConfiguration(configuration);
        const exceptions = configuration.exceptions.length;
        return {
          json: {digest, exceptions, isValid: true},
          lines: [
            `${path}: valid, ${String(exceptions)} exceptions, digest ${digest}`,
          ],
          result: 'ok',
        };
      },
    }),
  );
  return Promise.resolve(outcome);
}

type AcceptedDocument = Pick<
  z.infer<typeof configurationRecordSchema>,
  'documentText' | 'revision'
>;

/** Document that is in force until the first change is accepted. */
const INITIAL_DOCUMENT: AcceptedDocument = {
  documentText: DEFAULT_CONFIGURATION_TEXT,
  revision: 0,
};

async function queryAcceptedDocument({
  client,
  flags: {revision},
}: Invocation): Promise<Result<AcceptedDocument, Failure>> {
  const record = await client.query(
    '/configuration',
    {revision},
    configurationRecordSchema,
  );
  return record.orElse((failure) =>
    failure.result === 'notFound' && revision === undefined
      ? Result.ok<AcceptedDocument, Failure>(INITIAL_DOCUMENT)
      : Result.err<AcceptedDocument, Failure>(failure),
  );
}

async function loadAcceptedDocument(
  invocation: Invocation,
): Promise<Result<LoadedDocument, Failure>> {
  const record = await queryAcceptedDocument(invocation);
  return record.andThen(({documentText, revision}) =>
    parseDocumentText(documentText, `revision ${String(revision)}`),
  );
}

async function diffConfiguration(invocation: Invocation): Promise<ToolOutcome> {
  const [firstPath = '', secondPath] = invocation.arguments;
  const first = loadDocument(invocation, firstPath);
  if (first.isErr) {
    return Result.err(first.error);
  }
  const second =
    secondPath === undefined
      ? await loadAcceptedDocument(invocation)
      : loadDocument(invocation, secondPath);
  return second.map((secondDocument) => {
    const [before, after] =
      secondPath === undefined
        ? [secondDocument, first.value]
        : [first.value, secondDocument];
    const differences = diffConfigurations(
      before.configuration,
      after.configuration,
    );
    const lines =
      differences.length === 0
        ? ['no difference']
        : differences.map(formatDifference);
    return {json: {differences}, lines, result: 'ok'};
  });
}

async function getConfiguration(invocation: Invocation): Promise<ToolOutcome> {
  const record = await queryAcceptedDocument(invocation);
  return record.map((found) => ({
    json: found,
    lines: [
      formatRevisionComment(found.revision),
      found.documentText.trimEnd(),
    ],
    result: 'ok',
  }));
}

async function getHistory(invocation: Invocation): Promise<ToolOutcome> {
  const history = await invocation.client.query(
    '/configuration/history',
    {},
    historySchema,
  );
  return history.map((found) => ({
    json: found,
    lines: formatTable([
      ['revision', 'accepted', 'author', 'change', 'reason'],
      ...found.changes.map((change) => [
        String(change.revision),
        formatTime(change.acceptedAt),
        change.author,
        change.changeIdentifier,
        change.reason,
      ]),
    ]),
    result: 'ok',
  }));
}

async function getConfigurationStatus(
  invocation: Invocation,
): Promise<ToolOutcome> {
  const status = await invocation.client.query(
    '/configuration/status',
    {},
    configurationStatusSchema,
  );
  return status.map((found) => {
    const {inForceCount, isInForce, leader, memberCount, missing} = found;
    const isPartial = missing.some(({reason}) => reason === 'unreachable');
    return {
      json: found,
      lines: [
        `revision ${String(found.revision)}, digest ${found.digest}`,
        `in force ${isInForce ? 'everywhere' : 'not everywhere'}: ${String(inForceCount)} of ${String(memberCount)} members`,
        `leader ${leader ?? 'unknown'}`,
        ...missing.map(
          ({daemon, reason, revision}) =>
            `missing ${daemon}: ${reason}, revision ${String(revision ?? 'unknown')}`,
        ),
      ],
      result: isPartial ? 'partialAnswer' : 'ok',
    };
  });
}

/** Queries of the fleet configuration. */
export const CONFIGURATION_QUERIES: readonly ToolAction[] = [
  {
    kind: 'query',
    maximumArguments: 1,
    minimumArguments: 1,
    name: 'configuration check',
    run: checkConfiguration,
    summary: 'Check a document without a daemon.',
    usage: 'FILE',
  },
  {
    kind: 'query',
    maximumArguments: 2,
    minimumArguments: 1,
    name: 'configuration diff',
    run: diffConfiguration,
    summary: 'Compare a document with the accepted one, or with a second file.',
    usage: 'FILE [FILE] [--revision N]',
  },
  {
    kind: 'query',
    maximumArguments: 0,
    minimumArguments: 0,
    name: 'configuration get',
    run: getConfiguration,
    summary: 'Show the accepted document, with its revision in a comment.',
    usage: '[--revision N]',
  },
  {
    kind: 'query',
    maximumArguments: 0,
    minimumArguments: 0,
    name: 'configuration history',
    run: getHistory,
    summary: 'List the accepted changes, newest first.',
    usage: '',
  },
  {
    kind: 'query',
    maximumArguments: 0,
    minimumArguments: 0,
    name: 'configuration status',
    run: getConfigurationStatus,
    summary: 'Show which members run the newest revision.',
    usage: '',
  },
];
