/**
 * Messages of violated invariants by number.
 *
 * A violated invariant is a bug in jackdawcove and never caused by its input.
 */

/** Number of an invariant. */
export type InvariantCode = keyof typeof INVARIANT_MESSAGES;

/** Message of each invariant. */
export const INVARIANT_MESSAGES = {
  1: 'A log index is out of range.',
  10: 'A request was completed twice or was never admitted.',
  11: 'A required record is missing or inconsistent.',
  12: 'A component is in an invalid state.',
  13: 'A message that matches its schema cannot be decoded.',
  14: 'An embedded daemon has no routes.',
  2: 'A committed entry would be overwritten.',
  3: 'A revision would decrease.',
  4: 'A token count is negative or not an integer.',
  5: 'A call was completed twice or was never running.',
  6: 'A command was dispatched while an update was running.',
  7: 'A list that must not be empty is empty.',
  8: 'A listener is already registered.',
  9: 'A time is earlier than the previous one.',
} as const;
