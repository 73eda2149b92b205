/** Implements the command that changes the fleet configuration. */

import type {Invocation, ToolAction, ToolOutcome} from '../ToolAction.js';
import type {ChangeOrigin, LoadedDocument} from '../ToolInput.js';
import type {Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {
  configurationRecordSchema,
  configurationStatusSchema,
} from '../client/AnswerSchemas.js';
import {
  findRevisionComment,
  removeRevisionComment,
} from '../RevisionComment.js';
import {TOOL_NAME} from '../ToolFlags.js';
import {loadDocument, requireOrigin} from '../ToolInput.js';

type ConfigurationChange = ChangeOrigin & {
  readonly changeIdentifier: string;
  readonly documentText: string;
  readonly expectedRevision: number;
};

/**
 * Takes the expected revision from the flag, else from the comment in the file,
 * else from the fleet.
 */
async function findExpectedRevision(
  invocation: Invocation,
  text: string,
): Promise<Result<number, Failure>> {
  const specifiedRevision =
    invocation.flags.expectedRevision ?? findRevisionComment(text);
  if (specifiedRevision !== undefined) {
    return Result.ok(specifiedRevision);
  }
  const status = await invocation.client.query(
    '/configuration/status',
    {},
    configurationStatusSchema,
  );
  return status.map(({revision}) => revision);
}

function formatResendHint(path: string, change: ConfigurationChange): string {
  return [
    `send again with: ${TOOL_NAME} configuration apply ${path}`,
    `--change-identifier ${change.changeIdentifier}`,
    `--expected-revision ${String(change.expectedRevision)}`,
    `--author ${JSON.stringify(change.author)}`,
    `--reason ${JSON.stringify(change.reason)}`,
  ].join(' ');
}

async function sendChange(
  invocation: Invocation,
  path: string,
  change: ConfigurationChange,
): Promise<ToolOutcome> {
  const {client, dependencies} = invocation;
  dependencies.writeError(`change identifier ${change.changeIdentifier}\n`);
  const record = await client.command(
    '/configuration/changes',
    change,
    configurationRecordSchema,
    'changeOutcomeUnknown',
  );
  return record
    .map((accepted) => ({
      json: accepted,
      lines: [
        `accepted as revision ${String(accepted.revision)}, digest ${accepted.digest}, change ${accepted.changeIdentifier}`,
      ],
      result: 'ok' as const,
    }))
    .mapErr((failure) =>
      failure.result === 'changeOutcomeUnknown'
        ? createFailure(
            failure.result,
            [failure.detail, formatResendHint(path, change)]
              .filter((part) => part !== '')
              .join('; '),
          )
        : failure,
    );
}

async function applyDocument(
  invocation: Invocation,
  document: LoadedDocument,
  origin: ChangeOrigin,
): Promise<ToolOutcome> {
  const [path = ''] = invocation.arguments;
  const expectedRevision = await findExpectedRevision(
    invocation,
    document.text,
  );
  if (expectedRevision.isErr) {
    return Result.err(expectedRevision.error);
  }
  return sendChange(invocation, path, {
    ...origin,
    changeIdentifier:
      invocation.flags.changeIdentifier ??
      invocation.dependencies.mintIdentifier(),
    documentText: removeRevisionComment(document.text),
    expectedRevision: expectedRevision.value,
  });
}

async function applyConfiguration(
  invocation: Invocation,
): Promise<ToolOutcome> {
  const [path = ''] = invocation.arguments;
  const origin = requireOrigin(invocation);
  if (origin.isErr) {
    return Result.err(origin.error);
  }
  const document = loadDocument(invocation, path);
  return document.isErr
    ? Result.err(document.error)
    : applyDocument(invocation, document.value, origin.value);
}

/** Command that changes the fleet configuration. */
export const APPLY_CONFIGURATION: ToolAction = {
  kind: 'command',
  maximumArguments: 1,
  minimumArguments: 1,
  name: 'configuration apply',
  run: applyConfiguration,
  summary: 'Check a document and propose it to the voters.',
  usage:
    'FILE --reason TEXT [--author NAME] [--change-identifier ID] [--expected-revision N]',
};
