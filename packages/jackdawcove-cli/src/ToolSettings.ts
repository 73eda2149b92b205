/** Loads address, token and author from flags, the environment or a file. */

import type {JackdawDependencies} from './JackdawDependencies.js';
import type {ToolFlags} from './ToolFlags.js';
import type {Failure} from 'jackdawcove-shared';

import {parseDocument} from 'jackdawcove-configuration';
import {createFailure, formatAddress, parseAddress} from 'jackdawcove-shared';
import {Result} from 'true-myth';
import {tryOr} from 'true-myth/result';

/** Daemon that the tool connects to, and the credentials it uses. */
export type ToolSettings = {
  readonly address: string;
  readonly author: string | undefined;
  readonly timeoutMilliseconds: number;
  readonly token: string | undefined;
};

/** Address of the administration API if none is set. */
export const DEFAULT_ADDRESS = '127.0.0.1:7104';

const DEFAULT_TIMEOUT_MILLISECONDS = 10_000;
const SETTINGS_SECTION = 'jackdaw';
const SETTINGS_KEYS = ['address', 'author', 'token', 'token_file'] as const;

type FileSettings = Partial<Record<(typeof SETTINGS_KEYS)[number], string>>;

function readFile(
  path: string,
  dependencies: JackdawDependencies,
): Result<string, Failure> {
  return tryOr(createFailure('settingsUnreadable', path), () =>
    dependencies.readText(path),
  );
}

function parseSettingsFile(
  path: string,
  text: string,
): Result<FileSettings, Failure> {
  const {faults, sections} = parseDocument(text);
  const entries = sections.flatMap((section) =>
    section.entries.map((entry) => ({...entry, section: section.name})),
  );
  const unknownEntry = entries.find(
    ({key, section}) =>
      section !== SETTINGS_SECTION ||
      !SETTINGS_KEYS.some((allowedKey) => allowedKey === key),
  );
  const faultyLine = faults[0]?.line ?? unknownEntry?.line;
  if (faultyLine !== undefined) {
    const allowed = `[${SETTINGS_SECTION}] ${SETTINGS_KEYS.join(', ')}`;
    const detail = `${path}: line ${String(faultyLine)} is not allowed; allowed: ${allowed}`;
    return Result.err(createFailure('settingsInvalid', detail));
  }
  return Result.ok(
    Object.fromEntries(entries.map(({key, text: value}) => [key, value])),
  );
}

function loadFileSettings(
  path: string | undefined,
  dependencies: JackdawDependencies,
): Result<FileSettings, Failure> {
  return path === undefined
    ? Result.ok({})
    : readFile(path, dependencies).andThen((text) =>
        parseSettingsFile(path, text),
      );
}

function loadToken(
  token: string | undefined,
  tokenFile: string | undefined,
  dependencies: JackdawDependencies,
): Result<string | undefined, Failure> {
  if (token !== undefined || tokenFile === undefined) {
    return Result.ok(token);
  }
  return readFile(tokenFile, dependencies).map((text) => text.trim());
}

function checkAddress(text: string): Result<string, Failure> {
  const address = parseAddress(text);
  return address === undefined
    ? Result.err(createFailure('usage', `address "${text}" is not IP:PORT`))
    : Result.ok(formatAddress(address));
}

/**
 * Loads the settings. A flag takes precedence over an environment variable
 * (JACKDAW_ADDRESS, JACKDAW_TOKEN, JACKDAW_TOKEN_FILE, JACKDAW_AUTHOR), which
 * takes precedence over the INI file that --settings or JACKDAW_SETTINGS names.
 *
 * @example
 * loadToolSettings(flags, dependencies).map(({address}) => address);
 */
export function loadToolSettings(
  flags: ToolFlags,
  dependencies: JackdawDependencies,
): Result<ToolSettings, Failure> {
  const {environment} = dependencies;
  const path = flags.settings ?? environment['JACKDAW_SETTINGS'];
  return loadFileSettings(path, dependencies).andThen((fileSettings) => {
    const token =
      flags.token ?? environment['JACKDAW_TOKEN'] ?? fileSettings.token;
    const tokenFile =
      flags.tokenFile ??
      environment['JACKDAW_TOKEN_FILE'] ??
      fileSettings.token_file;
    const address =
      flags.address ?? environment['JACKDAW_ADDRESS'] ?? fileSettings.address;
    const author =
      flags.author ??
      environment['JACKDAW_AUTHOR'] ??
      fileSettings.author ??
      environment['USER'];
    return checkAddress(address ?? DEFAULT_ADDRESS).andThen((checkedAddress) =>
      loadToken(token, tokenFile, dependencies).map((loadedToken) => ({
        address: checkedAddress,
        author,
        timeoutMilliseconds: flags.timeout ?? DEFAULT_TIMEOUT_MILLISECONDS,
        token: loadedToken,
      })),
    );
  });
}
