/** Memory that this process uses. */

const BYTES_PER_KIBIBYTE = 1_024;

/**
 * Returns the resident memory. Reading it takes a file descriptor; without one left, it
 * is the highest that it has been.
 *
 * @example
 * readResidentBytes(); // 41_943_040
 */
export function readResidentBytes(
  read: () => number = process.memoryUsage.rss,
): number {
  try {
    return read();
  } catch {
    return process.resourceUsage().maxRSS * BYTES_PER_KIBIBYTE;
  }
}
