/** Reads and validates inputs that several actions share. */

import type {Invocation} from './ToolAction.js';
import type {FleetConfiguration} from 'jackdawcove-configuration';
import type {Failure} from 'jackdawcove-shared';

import {
  formatConfigurationFault,
  parseFleetConfiguration,
} from 'jackdawcove-configuration';
import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';
import {tryOr} from 'true-myth/result';

/** Who makes a change, and why. */
export type ChangeOrigin = {
  readonly author: string;
  readonly reason: string;
};

/** Text of a document with the configuration parsed from it. */
export type LoadedDocument = {
  readonly configuration: FleetConfiguration;
  readonly text: string;
};

/**
 * Returns the author and the reason of a change; both are required.
 *
 * @example
 * requireOrigin(invocation).map(({reason}) => reason);
 */
export function requireOrigin(
  invocation: Invocation,
): Result<ChangeOrigin, Failure> {
  const {author, flags} = invocation;
  const reason = flags.reason?.trim() ?? '';
  if (reason === '') {
    return Result.err(createFailure('usage', '--reason is required'));
  }
  if (author === undefined) {
    return Result.err(createFailure('usage', '--author is required'));
  }
  return Result.ok({author, reason});
}

/**
 * Reads a document from a file without checking it.
 *
 * @example
 * readDocument(invocation, 'fleet.ini');
 */
export function readDocument(
  invocation: Invocation,
  path: string,
): Result<string, Failure> {
  return tryOr(createFailure('settingsUnreadable', path), () =>
    invocation.dependencies.readText(path),
  );
}

/**
 * Reads a document from a file and checks it; the failure lists every fault.
 *
 * @example
 * loadDocument(invocation, 'fleet.ini').map(({text}) => text);
 */
export function loadDocument(
  invocation: Invocation,
  path: string,
): Result<LoadedDocument, Failure> {
  return readDocument(invocation, path).andThen((text) =>
    parseDocumentText(text, path),
  );
}

/**
 * Checks the text of a document; the failure lists every fault.
 *
 * @example
 * parseDocumentText(record.documentText, 'revision 7');
 */
export function parseDocumentText(
  text: string,
  source: string,
): Result<LoadedDocument, Failure> {
  return parseFleetConfiguration(text)
    .map((configuration) => ({configuration, text}))
    .mapErr((faults) => {
      const details = faults.map(formatConfigurationFault);
      return createFailure(
        'invalidConfiguration',
        [source, ...details].join('; '),
      );
    });
}
