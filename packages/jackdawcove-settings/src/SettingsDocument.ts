/** Parses the INI text of a settings file into values by section and key. */

import type {SectionTexts} from './SettingsSecrets.js';

import {parse} from 'ini';

/** Key that the document sets more than once. */
export type DuplicateKey = {readonly key: string; readonly section: string};

/** Parsed settings file whose values are still text. */
export type SettingsDocument = {
  readonly duplicates: readonly DuplicateKey[];
  /** Keys that precede the first section header. */
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
 * Parses the text of a settings file. Throws if `ini` cannot parse the text.
 *
 * With `bracketedArray` off, `ini` collects the values of a repeated key in an
 * array. It also returns an array with one value for a key that an earlier
 * section contains, so only arrays with more than one value are duplicates.
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
