/** Parses and validates a fleet configuration document. */

import type {ConfigurationDocument} from './ConfigurationDocument.js';
import type {DocumentEntry, DocumentSection} from './ConfigurationDocument.js';
import type {ConfigurationFault} from './ConfigurationFault.js';
import type {
  ConfigurationException,
  FleetConfiguration,
} from './FleetConfiguration.js';
import type {PolicyValues} from './PolicyValues.js';
import type {RequestMatcher} from './RequestMatcher.js';

import {nameSchema} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {checkConfiguration} from './checkConfiguration.js';
import {
  DEFAULTS_SECTION,
  EXCEPTION_PREFIX,
  MAXIMUM_DOCUMENT_BYTES,
  MAXIMUM_REASON_LENGTH,
  REASON_KEY,
} from './ConfigurationConstants.js';
import {parseDocument} from './ConfigurationDocument.js';
import {
  APPLIED_POLICY_KEYS,
  DEFAULT_POLICY_VALUES,
  findPolicyKey,
  policyValuesSchema,
  toDocumentKey,
  UNAPPLIED_POLICY_KEYS,
} from './PolicyValues.js';
import {MATCHER_KEYS, requestMatcherSchema} from './RequestMatcher.js';

/** Exception with the line number of its section, for the report of faults. */
export type LocatedException = ConfigurationException & {
  readonly line: number;
};

/** The part of an accepted configuration that this version supports. */
export type AcceptedConfiguration = {
  readonly configuration: FleetConfiguration;
  /** Faults of the document, which say what was left out and why. */
  readonly faults: readonly ConfigurationFault[];
};

type FaultList = ConfigurationFault[];
type FieldSchema = {
  readonly description?: string | undefined;
  safeParse(text: string): {data?: unknown; success: boolean};
};

const POLICY_DOCUMENT_KEYS = APPLIED_POLICY_KEYS.map(toDocumentKey);
const UNAPPLIED_DOCUMENT_KEYS = UNAPPLIED_POLICY_KEYS.map(toDocumentKey);
const EXCEPTION_KEYS = [REASON_KEY, ...MATCHER_KEYS, ...POLICY_DOCUMENT_KEYS];

function createEntryFault(
  section: DocumentSection,
  entry: DocumentEntry,
  reason: string,
  allowed: string,
): ConfigurationFault {
  const {key, line} = entry;
  return {allowed, key, line, reason, section: section.name};
}

function parseField(
  section: DocumentSection,
  entry: DocumentEntry,
  schema: FieldSchema,
  faults: FaultList,
): unknown {
  const parsed = schema.safeParse(entry.text);
  if (!parsed.success) {
    const reason = `"${entry.text}" is not allowed`;
    const allowed = schema.description ?? '';
    faults.push(createEntryFault(section, entry, reason, allowed));
  }
  return parsed.data;
}

function findRepeatedEntries(section: DocumentSection): FaultList {
  const repeated = section.entries.filter((entry, index) =>
    section.entries.slice(0, index).some(({key}) => key === entry.key),
  );
  return repeated.map((entry) =>
    createEntryFault(section, entry, 'is set more than once', 'one value'),
  );
}

function findUnknownEntries(
  section: DocumentSection,
  allowedKeys: readonly string[],
): FaultList {
  const unknown = section.entries.filter(({key}) => !allowedKeys.includes(key));
  return unknown.map((entry) => {
    const isUnapplied = UNAPPLIED_DOCUMENT_KEYS.includes(entry.key);
    const reason = isUnapplied
      ? 'is not applied by this version'
      : 'is not a known key';
    return createEntryFault(section, entry, reason, allowedKeys.join(', '));
  });
}

function parseValues(
  section: DocumentSection,
  faults: FaultList,
): Partial<PolicyValues> {
  const values: Record<string, unknown> = {};
  for (const entry of section.entries) {
    const key = findPolicyKey(entry.key);
    if (key !== undefined) {
      const schema = policyValuesSchema.shape[key];
      const value = parseField(section, entry, schema, faults);
      Object.assign(values, value === undefined ? {} : {[key]: value});
    }
  }
  return values;
}

function parseMatcher(
  section: DocumentSection,
  faults: FaultList,
): RequestMatcher {
  const matcher: Record<string, unknown> = {};
  for (const entry of section.entries) {
    const key = MATCHER_KEYS.find((known) => known === entry.key);
    if (key !== undefined) {
      const schema = requestMatcherSchema.shape[key];
      matcher[key] = parseField(section, entry, schema, faults);
    }
  }
  return matcher;
}

function parseReason(section: DocumentSection, faults: FaultList): string {
  const entry = section.entries.find(({key}) => key === REASON_KEY);
  const reason = entry?.text.trim() ?? '';
  if (reason === '' || reason.length > MAXIMUM_REASON_LENGTH) {
    faults.push({
      allowed: `a text of 1 to ${String(MAXIMUM_REASON_LENGTH)} characters`,
      key: REASON_KEY,
      line: entry?.line ?? section.line,
      reason: reason === '' ? 'is missing or blank' : 'is too long',
      section: section.name,
    });
  }
  return reason;
}

function parseException(
  section: DocumentSection,
  faults: FaultList,
): LocatedException {
  const name = section.name.slice(EXCEPTION_PREFIX.length);
  if (!nameSchema.safeParse(name).success) {
    faults.push({
      allowed: 'letters, digits, ".", "_" and "-" after "exception."',
      key: '',
      line: section.line,
      reason: 'does not name its exception',
      section: section.name,
    });
  }
  faults.push(...findUnknownEntries(section, EXCEPTION_KEYS));
  return {
    line: section.line,
    matcher: parseMatcher(section, faults),
    name,
    overrides: parseValues(section, faults),
    reason: parseReason(section, faults),
  };
}

function findSectionFaults(document: ConfigurationDocument): FaultList {
  const faults = [...document.faults];
  for (const [index, section] of document.sections.entries()) {
    const {line, name} = section;
    const fault = {allowed: '', key: '', line, section: name};
    const isKnown =
      name === DEFAULTS_SECTION || name.startsWith(EXCEPTION_PREFIX);
    const precedingSections = document.sections.slice(0, index);
    if (!isKnown) {
      const allowed = `[${DEFAULTS_SECTION}], [${EXCEPTION_PREFIX}NAME]`;
      faults.push({...fault, allowed, reason: 'is not a known section'});
    }
    if (precedingSections.some((other) => other.name === name)) {
      faults.push({...fault, reason: 'stands more than once'});
    }
    faults.push(...findRepeatedEntries(section));
  }
  return faults;
}

function parseSections(document: ConfigurationDocument) {
  const faults = findSectionFaults(document);
  const defaults: Partial<PolicyValues>[] = [];
  const exceptions: LocatedException[] = [];
  for (const section of document.sections) {
    if (section.name === DEFAULTS_SECTION) {
      faults.push(...findUnknownEntries(section, POLICY_DOCUMENT_KEYS));
      defaults.push(parseValues(section, faults));
    } else if (section.name.startsWith(EXCEPTION_PREFIX)) {
      exceptions.push(parseException(section, faults));
    }
  }
  const values = Object.assign({}, DEFAULT_POLICY_VALUES, ...defaults);
  return {defaults: values as PolicyValues, exceptions, faults};
}

function compareNames(
  left: ConfigurationException,
  right: ConfigurationException,
): number {
  return left.name < right.name ? -1 : 1;
}

function sortByLine(faults: FaultList): FaultList {
  return faults.toSorted((left, right) => left.line - right.line);
}

function removeLine(exception: LocatedException): ConfigurationException {
  const {matcher, name, overrides, reason} = exception;
  return {matcher, name, overrides, reason};
}

function createConfiguration(
  defaults: PolicyValues,
  exceptions: readonly LocatedException[],
): FleetConfiguration {
  return {
    defaults,
    exceptions: exceptions.toSorted(compareNames).map(removeLine),
  };
}

/**
 * Keeps only the "idempotent = no" override of a faulty exception: it is safe to
 * treat too many requests as not idempotent, but not too few.
 */
function keepNonIdempotentOverride(
  exception: LocatedException,
): LocatedException[] {
  const {idempotent} = exception.overrides;
  return idempotent === 'no' ? [{...exception, overrides: {idempotent}}] : [];
}

/**
 * Reads a document that the voters have accepted, possibly under another version
 * of jackdawcove. Never fails. Unsupported defaults are left out one by one. A
 * faulty exception is left out completely, because without one of its matchers it
 * would apply to other requests; only its "idempotent = no" is kept.
 *
 * @example
 * const {configuration, faults} = readAcceptedConfiguration(text);
 */
export function readAcceptedConfiguration(text: string): AcceptedConfiguration {
  const {defaults, exceptions, faults} = parseSections(parseDocument(text));
  const checkFaults = checkConfiguration(defaults, exceptions);
  const allFaults = sortByLine([...faults, ...checkFaults]);
  const faultySections = new Set(allFaults.map(({section}) => section));
  const usableExceptions = exceptions.flatMap((exception) =>
    faultySections.has(`${EXCEPTION_PREFIX}${exception.name}`)
      ? keepNonIdempotentOverride(exception)
      : [exception],
  );
  return {
    configuration: createConfiguration(defaults, usableExceptions),
    faults: allFaults,
  };
}

/**
 * Parses and validates a document. Never throws. Every fault has its line number.
 *
 * @example
 * parseFleetConfiguration('[defaults]\nimportance = normal\n').isOk; // true
 */
export function parseFleetConfiguration(
  text: string,
): Result<FleetConfiguration, readonly ConfigurationFault[]> {
  if (Buffer.byteLength(text) > MAXIMUM_DOCUMENT_BYTES) {
    const reason = `is longer than ${String(MAXIMUM_DOCUMENT_BYTES)} bytes`;
    return Result.err([{allowed: '', key: '', line: 1, reason, section: ''}]);
  }
  const {defaults, exceptions, faults} = parseSections(parseDocument(text));
  if (faults.length > 0) {
    return Result.err(sortByLine(faults));
  }
  const checkFaults = checkConfiguration(defaults, exceptions);
  if (checkFaults.length > 0) {
    return Result.err(sortByLine(checkFaults));
  }
  return Result.ok(createConfiguration(defaults, exceptions));
}
