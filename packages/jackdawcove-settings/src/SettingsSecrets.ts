/** Secrets of the settings, each given as a value or as the path of a file. */

import type {SettingsFault} from './SettingsFaults.js';

/** Reads a text file. Throws if it cannot be read. */
export type ReadText = (path: string) => string;

/** Text values of one section by key as written in the file. */
export type SectionTexts = Record<string, string>;

type SecretDefinition = {
  readonly fileKey: string;
  readonly isList: boolean;
  readonly isRequired: boolean;
  readonly section: string;
  /** Key in the schema of the section that receives the secret. */
  readonly target: string;
  readonly valueKey: string;
};

/** Outcome of reading one secret. */
export type SecretOutcome = {
  readonly fault?: Omit<SettingsFault, 'file'>;
  readonly value?: string | string[];
};

const COMMENT_PREFIX = '#';

/** All secrets of the settings. */
export const SECRETS: readonly SecretDefinition[] = [
  {
    fileKey: 'key_file',
    isList: false,
    isRequired: true,
    section: 'fleet',
    target: 'key',
    valueKey: 'key',
  },
  {
    fileKey: 'previous_key_file',
    isList: false,
    isRequired: false,
    section: 'fleet',
    target: 'previousKey',
    valueKey: 'previous_key',
  },
  {
    fileKey: 'read_tokens_file',
    isList: true,
    isRequired: false,
    section: 'administration',
    target: 'readTokens',
    valueKey: 'read_token',
  },
  {
    fileKey: 'change_tokens_file',
    isList: true,
    isRequired: false,
    section: 'administration',
    target: 'changeTokens',
    valueKey: 'change_token',
  },
];

function createSecretFault(
  secret: SecretDefinition,
  key: string,
  reason: string,
): SecretOutcome {
  return {
    fault: {
      allowed: `either ${secret.valueKey} or ${secret.fileKey}`,
      key,
      reason,
      result: 'settingsInvalid',
      section: secret.section,
    },
  };
}

function readSecretFile(
  secret: SecretDefinition,
  path: string,
  readText: ReadText,
): SecretOutcome {
  try {
    const text = readText(path);
    const lines = text.split('\n').map((line) => line.trim());
    const secrets = lines.filter(
      (line) => line !== '' && !line.startsWith(COMMENT_PREFIX),
    );
    return {value: secret.isList ? secrets : secrets.join('\n')};
  } catch {
    return {
      fault: {
        allowed: 'the path of a readable file',
        key: secret.fileKey,
        reason: `"${path}" cannot be read`,
        result: 'settingsUnreadable',
        section: secret.section,
      },
    };
  }
}

/**
 * Returns the value of a secret, read from its file if the settings name one.
 *
 * @example
 * resolveSecret(SECRETS[0], {key_file: 'fleet.key'}, readText);
 */
export function resolveSecret(
  secret: SecretDefinition,
  texts: SectionTexts,
  readText: ReadText,
): SecretOutcome {
  const value = texts[secret.valueKey];
  const path = texts[secret.fileKey];
  if (value !== undefined && path !== undefined) {
    return createSecretFault(secret, secret.fileKey, 'is set beside a value');
  }
  if (path !== undefined) {
    return readSecretFile(secret, path, readText);
  }
  if (value === undefined) {
    return secret.isRequired
      ? createSecretFault(secret, secret.valueKey, 'is missing')
      : {};
  }
  return {value: secret.isList ? [value] : value};
}
