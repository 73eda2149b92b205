/** Removal of what a register function added. */

/** Undoes a registration; a second call does nothing. */
export type Teardown = () => void;

/**
 * Merges teardowns into one that runs them in reverse order.
 *
 * @example
 * const teardown = mergeTeardowns(registerA(), registerB());
 */
export function mergeTeardowns(...teardowns: readonly Teardown[]): Teardown {
  return () => {
    for (const teardown of teardowns.toReversed()) {
      teardown();
    }
  };
}
