/**
 * Messages of violated invariants by number.
 *
 * A violated invariant is a fault of jackdawcove, never of its input.
 */

/** Number of an invariant. */
export type InvariantCode = keyof typeof INVARIANT_MESSAGES;

/** Message of each invariant. */
export const INVARIANT_MESSAGES = {
  1: 'A log index is out of range.',
  10: 'An admitted request is not known.',
  11: 'A ledger record is in an impossible state.',
  12: 'A session is in an impossible state.',
  13: 'A message that matches its schema cannot be decoded.',
  14: 'An embedded daemon runs without routes.',
  2: 'A committed entry would be overwritten.',
  3: 'A revision would move down.',
  4: 'A token count is negative.',
  5: 'A call was finished twice.',
  6: 'A command was dispatched while an update is running.',
  7: 'A list that must not be empty is empty.',
  8: 'A listener for the channel is registered already.',
  9: 'A decision received a time before its last one.',
} as const;
