/** Reads the INI text of a settings file into texts by section and key. */

import type {SectionTexts} from './SettingsSecrets.js';

import {parse} from 'ini';

/** A key that the document writes more than once. */
export type DuplicateKey = {readonly key: string; readonly section: string};

/** Texts of a settings file. */
export type SettingsDocument = {
  readonly duplicates: readonly DuplicateKey[];
  /** Keys that stand before the first section. */
  readonly keysOutsideSections: readonly string[];
  readonly sections: ReadonlyMap<string, SectionTexts>;
};

function isSection(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/**
 * Parses the text of a settings file; throws on text that `ini` cannot read.
 *
 * Without bracketed arrays `ini` collects every value of a repeated key, and
 * wraps a key that another section had before in a list of one value.
 *
 * @example
 * parseSettingsDocument('[daemon]\nname = vm-1').sections.get('daemon');
 */
export function parseSettingsDocument(text: string): SettingsDocument {
  const parsed = parse(text, {bracketedArray: false});
  const duplicates: DuplicateKey[] = [];
  const keysOutsideSections: string[] = [];
  const sections = new Map<string, SectionTexts>();
  for (const [section, values] of Object.entries(parsed)) {
    if (!isSection(values)) {
      keysOutsideSections.push(section);
      continue;
    }
    const texts: SectionTexts = {};
    for (const [key, value] of Object.entries(values)) {
      const items: unknown[] = Array.isArray(value) ? value : [value];
      if (items.length > 1) {
        duplicates.push({key, section});
      }
      texts[key] = formatValue(items[0]);
    }
    sections.set(section, texts);
  }
  return {duplicates, keysOutsideSections, sections};
}
