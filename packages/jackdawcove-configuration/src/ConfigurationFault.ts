/** Faults of a fleet configuration document, one line each. */

/** One fault of a document. */
export type ConfigurationFault = {
  /** What is allowed, in words; blank where nothing is. */
  readonly allowed: string;
  /** Key as the document writes it; blank for a fault of a section. */
  readonly key: string;
  /** Number of the line, from 1. */
  readonly line: number;
  readonly reason: string;
  /** Section as the document writes it; blank before the first. */
  readonly section: string;
};

/**
 * Formats a fault as one line.
 *
 * @example
 * formatConfigurationFault(fault);
 * // 'line 7: [exception.labels] reason: is missing; allowed: …'
 */
export function formatConfigurationFault(fault: ConfigurationFault): string {
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}:`;
  const allowed = fault.allowed === '' ? '' : `; allowed: ${fault.allowed}`;
  return `line ${String(fault.line)}:${section}${key} ${fault.reason}${allowed}`;
}
