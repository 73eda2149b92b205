/** Processor time and resident memory of another process on this machine, from `/proc`. */

import {readFileSync} from 'node:fs';

const MILLISECONDS_PER_CLOCK_TICK = 10;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;
const PAGE_BYTES = 4_096;

function readStatFields(processIdentifier: number | undefined): string[] {
  const text = readFileSync(`/proc/${String(processIdentifier)}/stat`, 'utf8');
  return text.slice(text.lastIndexOf(')') + 2).split(' ');
}

/**
 * Returns the processor time that a process has used, in milliseconds.
 *
 * @example
 * readCpuMilliseconds(process.pid);
 */
export function readCpuMilliseconds(
  processIdentifier: number | undefined,
): number {
  const fields = readStatFields(processIdentifier);
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  return ticks * MILLISECONDS_PER_CLOCK_TICK;
}

/**
 * Returns the resident memory of a process, in bytes.
 *
 * @example
 * readResidentBytes(process.pid);
 */
export function readResidentBytes(
  processIdentifier: number | undefined,
): number {
  return (
    Number(readStatFields(processIdentifier)[RESIDENT_PAGES_FIELD]) * PAGE_BYTES
  );
}
