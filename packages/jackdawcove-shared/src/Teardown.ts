/** Functions that undo a registration. */

/** Undoes a registration. Calling it again has no effect. */
export type Teardown = () => void;

/**
 * Merges teardowns into one function that calls them in reverse order.
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
