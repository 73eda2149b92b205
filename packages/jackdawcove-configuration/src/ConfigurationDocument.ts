/** Parses an INI document into sections and keys with their line numbers. */

import type {ConfigurationFault} from './ConfigurationFault.js';

import {parse} from 'ini';

/** Key and value of an entry, with its line number. */
export type DocumentEntry = {
  readonly key: string;
  readonly line: number;
  readonly text: string;
};

/** Section of a document, with its line number. */
export type DocumentSection = {
  readonly entries: readonly DocumentEntry[];
  readonly line: number;
  readonly name: string;
};

/** Sections of a document, and faults for the lines that could not be parsed. */
export type ConfigurationDocument = {
  readonly faults: readonly ConfigurationFault[];
  readonly sections: readonly DocumentSection[];
};

type MutableSection = DocumentSection & {readonly entries: DocumentEntry[]};

const BLANK_OR_COMMENT_PATTERN = /^\s*([;#].*)?$/;
const SECTION_PATTERN = /^\s*\[([^\]]*)\]\s*$/;
const ENTRY_PATTERN = /^\s*([A-Za-z_]+)\s*=/;

function createLineFault(
  line: number,
  section: string,
  reason: string,
): ConfigurationFault {
  return {allowed: '', key: '', line, reason, section};
}

/** Parses an entry; `ini` handles quotes, escapes and comments. */
function parseEntry(text: string, line: number): DocumentEntry | undefined {
  const key = ENTRY_PATTERN.exec(text)?.[1];
  if (key === undefined) {
    return undefined;
  }
  try {
    const value: unknown = parse(text.trim())[key];
    return {
      key,
      line,
      text: typeof value === 'string' ? value : JSON.stringify(value),
    };
  } catch {
    return undefined;
  }
}

/**
 * Parses the text of a document. Never throws.
 *
 * @example
 * parseDocument('[defaults]\nimportance = normal').sections[0]?.name; // 'defaults'
 */
export function parseDocument(text: string): ConfigurationDocument {
  const faults: ConfigurationFault[] = [];
  const sections: MutableSection[] = [];
  for (const [index, lineText] of text.split(/\r\n|\n|\r/).entries()) {
    const line = index + 1;
    const section = sections.at(-1);
    const name = SECTION_PATTERN.exec(lineText)?.[1]?.trim();
    if (BLANK_OR_COMMENT_PATTERN.test(lineText)) {
      continue;
    }
    if (name !== undefined) {
      sections.push({entries: [], line, name});
      continue;
    }
    const entry = parseEntry(lineText, line);
    if (entry === undefined) {
      const reason = 'is not "[section]", "key = value" or a comment';
      faults.push(createLineFault(line, section?.name ?? '', reason));
    } else if (section === undefined) {
      faults.push(createLineFault(line, '', 'stands before the first section'));
    } else {
      section.entries.push(entry);
    }
  }
  return {faults, sections};
}
