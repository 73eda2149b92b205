/** Parses and validates the settings file of one daemon. */

import type {DaemonSettings, SectionName} from './DaemonSettings.js';
import type {SettingsDocument} from './SettingsDocument.js';
import type {SettingsFault} from './SettingsFaults.js';
import type {ReadText, SectionTexts} from './SettingsSecrets.js';

import {readFileSync} from 'node:fs';
import {dirname, resolve} from 'node:path';

import {Result} from 'true-myth';
import {tryOr, tryOrElse} from 'true-myth/result';

import {sectionSchemas} from './DaemonSettings.js';
import {findCrossFieldFaults} from './findCrossFieldFaults.js';
import {parseSettingsDocument} from './SettingsDocument.js';
import {resolveSecret, SECRETS} from './SettingsSecrets.js';

type LocalFault = Omit<SettingsFault, 'file'>;
type SectionInput = Record<string, unknown>;
type SectionOutcome = {
  readonly faults: readonly LocalFault[];
  readonly value?: unknown;
};

const SECTION_NAMES = Object.keys(sectionSchemas) as SectionName[];

function createFault(
  section: string,
  key: string,
  reason: string,
  allowed: string,
): LocalFault {
  return {allowed, key, reason, result: 'settingsInvalid', section};
}

/** Converts a key of the schema to the key in the file. */
function toFileKey(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

function getSchemaKeys(section: SectionName): string[] {
  return Object.keys(sectionSchemas[section].shape);
}

function isSecretTarget(section: string, key: string): boolean {
  return SECRETS.some(
    (secret) => secret.section === section && secret.target === key,
  );
}

function getFileKeys(section: SectionName): string[] {
  const plain = getSchemaKeys(section).filter(
    (key) => !isSecretTarget(section, key),
  );
  const secrets = SECRETS.filter((secret) => secret.section === section);
  return [
    ...plain.map(toFileKey),
    ...secrets.flatMap(({fileKey, valueKey}) => [valueKey, fileKey]),
  ];
}

function getDescription(section: SectionName, key: string): string {
  const shape: Record<string, {description?: string | undefined}> =
    sectionSchemas[section].shape;
  return shape[key]?.description ?? '';
}

function findUnknownKeys(
  section: SectionName,
  texts: SectionTexts,
): LocalFault[] {
  const known = getFileKeys(section);
  const unknown = Object.keys(texts).filter((key) => !known.includes(key));
  return unknown.map((key) =>
    createFault(section, key, 'is not a known key', known.join(', ')),
  );
}

function describeValueFault(
  section: SectionName,
  key: string,
  input: SectionInput,
): LocalFault {
  const text = input[key];
  const shown = typeof text === 'string' ? `"${text}" ` : '';
  const reason = text === undefined ? 'is missing' : `${shown}is not allowed`;
  return createFault(
    section,
    toFileKey(key),
    reason,
    getDescription(section, key),
  );
}

/**
 * Describes an invalid secret without its value. A missing secret yields no
 * fault here because `resolveSecret` reports it.
 */
function describeSecretFault(
  section: SectionName,
  key: string,
  texts: SectionTexts,
): LocalFault[] {
  const secret = SECRETS.find(({target}) => target === key);
  const used = [secret?.valueKey, secret?.fileKey].find(
    (name) => name !== undefined && texts[name] !== undefined,
  );
  const allowed = getDescription(section, key);
  return used === undefined
    ? []
    : [createFault(section, used, 'holds a secret that is too short', allowed)];
}

function collectInput(section: SectionName, texts: SectionTexts): SectionInput {
  const input: SectionInput = {};
  for (const key of getSchemaKeys(section)) {
    const text = texts[toFileKey(key)];
    if (!isSecretTarget(section, key) && text !== undefined) {
      input[key] = text;
    }
  }
  return input;
}

/** Adds the secrets of a section to its input. */
function resolveSecrets(
  section: SectionName,
  texts: SectionTexts,
  readText: ReadText,
  input: SectionInput,
): readonly LocalFault[] {
  const faults: LocalFault[] = [];
  for (const secret of SECRETS.filter((row) => row.section === section)) {
    const {fault, value} = resolveSecret(secret, texts, readText);
    if (value !== undefined) {
      input[secret.target] = value;
    }
    if (fault !== undefined) {
      faults.push(fault);
    }
  }
  return faults;
}

function parseSection(
  section: SectionName,
  texts: SectionTexts,
  readText: ReadText,
): SectionOutcome {
  const input = collectInput(section, texts);
  const secretFaults = resolveSecrets(section, texts, readText, input);
  const faults = [...findUnknownKeys(section, texts), ...secretFaults];
  const parsed = sectionSchemas[section].safeParse(input);
  if (parsed.success) {
    return {faults, value: parsed.data};
  }
  const keys = new Set(parsed.error.issues.map(({path}) => String(path[0])));
  const valueFaults = [...keys].flatMap((key) => {
    if (!isSecretTarget(section, key)) {
      return [describeValueFault(section, key, input)];
    }
    return input[key] === undefined
      ? []
      : describeSecretFault(section, key, texts);
  });
  return {faults: [...faults, ...valueFaults]};
}

function findDocumentFaults(document: SettingsDocument): LocalFault[] {
  const {duplicates, keysOutsideSections, sections} = document;
  const allowed = SECTION_NAMES.join(', ');
  const unknown = [...sections.keys()].filter(
    (name) => !SECTION_NAMES.some((known) => known === name),
  );
  return [
    ...keysOutsideSections.map((key) =>
      createFault('', key, 'stands before the first section', ''),
    ),
    ...unknown.map((section) =>
      createFault(section, '', 'is not a known section', allowed),
    ),
    ...duplicates.map(({key, section}) =>
      createFault(section, key, 'is set more than once', 'one value'),
    ),
  ];
}

function checkDocument(
  document: SettingsDocument,
  readText: ReadText,
): Result<DaemonSettings, readonly LocalFault[]> {
  const faults = findDocumentFaults(document);
  const values: Record<string, unknown> = {};
  for (const section of SECTION_NAMES) {
    const texts = document.sections.get(section) ?? {};
    const outcome = parseSection(section, texts, readText);
    faults.push(...outcome.faults);
    values[section] = outcome.value;
  }
  if (faults.length > 0) {
    return Result.err(faults);
  }
  const settings = values as DaemonSettings;
  const crossFieldFaults = findCrossFieldFaults(settings);
  return crossFieldFaults.length > 0
    ? Result.err(crossFieldFaults)
    : Result.ok(settings);
}

/**
 * Parses and validates the text of a settings file. Secret files are read with
 * `readText`, which by default reads from disk, relative to the working
 * directory.
 *
 * @example
 * parseSettings(text, 'jackdawd.ini').match({
 *   Err: (faults) => faults.map(formatSettingsFault),
 *   Ok: (settings) => settings.daemon.name,
 * });
 */
export function parseSettings(
  text: string,
  fileName: string,
  readText: ReadText = (path) => readFileSync(path, 'utf8'),
): Result<DaemonSettings, readonly SettingsFault[]> {
  const addFile = (fault: LocalFault): SettingsFault => ({
    ...fault,
    file: fileName,
  });
  const document = tryOrElse(
    () => createFault('', '', 'is not an INI document', ''),
    () => parseSettingsDocument(text),
  );
  return document
    .mapErr((fault): readonly LocalFault[] => [fault])
    .andThen((sections) => checkDocument(sections, readText))
    .mapErr((faults) => faults.map(addFile));
}

/**
 * Loads and validates a settings file. Paths of secret files are relative to
 * the folder of the settings file.
 *
 * @example
 * loadSettings('/etc/jackdawcove/jackdawd.ini');
 */
export function loadSettings(
  path: string,
): Result<DaemonSettings, readonly SettingsFault[]> {
  const folder = dirname(path);
  const readText = (name: string) =>
    readFileSync(resolve(folder, name), 'utf8');
  const unreadable: SettingsFault = {
    allowed: 'a readable file',
    file: path,
    key: '',
    reason: 'cannot be read',
    result: 'settingsUnreadable',
    section: '',
  };
  return tryOr<string, readonly SettingsFault[]>([unreadable], () =>
    readFileSync(path, 'utf8'),
  ).andThen((text) => parseSettings(text, path, readText));
}
