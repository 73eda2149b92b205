/** Number of file descriptors that this process may have open. */

import {readFileSync} from 'node:fs';

const LIMITS_FILE = '/proc/self/limits';
const DESCRIPTORS_PATTERN = /^Max open files\s+(\d+)/m;

/**
 * Returns the limit of the operating system; infinity where it names none.
 *
 * @example
 * readDescriptorLimit(); // 4096
 */
export function readDescriptorLimit(path = LIMITS_FILE): number {
  try {
    const digits = DESCRIPTORS_PATTERN.exec(readFileSync(path, 'utf8'))?.[1];
    return Number(digits ?? Number.POSITIVE_INFINITY);
  } catch {
    // Other operating systems have no such file.
    return Number.POSITIVE_INFINITY;
  }
}
