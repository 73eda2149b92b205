/** Faults of a fleet configuration document, one line each. */

/** One fault of a document. */
export type ConfigurationFault = {
  /** Description of what is allowed; empty if there is none. */
  readonly allowed: string;
  /** Key as written in the document; empty for a fault of a section. */
  readonly key: string;
  /** Line number, starting at 1. */
  readonly line: number;
  readonly reason: string;
  /** Section as written in the document; empty before the first one. */
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
