/** Completions of claims that are still to be told to ledger members. */

import type {ClaimAttempt} from './ClaimAttempt.js';
import type {AttemptState, LedgerMessageOf} from './LedgerMessages.js';
import type {DaemonName, Incarnation} from 'jackdawcove-shared';

import {MAXIMUM_COMPLETIONS_PER_MESSAGE} from './LedgerConstants.js';

type CompletionsMessage = LedgerMessageOf<'completions'>;

/** A message and the member that it is for. */
export type AddressedCompletions = {
  readonly message: CompletionsMessage;
  readonly to: DaemonName;
};

/** Collects completions by member. A lost one costs precision, never safety. */
export class CompletionOutbox {
  readonly #completions = new Map<
    DaemonName,
    CompletionsMessage['completions']
  >();
  readonly #incarnation: Incarnation;

  constructor(incarnation: Incarnation) {
    this.#incarnation = incarnation;
  }

  /** Adds the end of a claim for every member of its group. */
  add(claim: ClaimAttempt, state: AttemptState): void {
    const {attempt, key} = claim;
    for (const {name} of claim.getGroup().members) {
      const completions = this.#completions.get(name) ?? [];
      completions.push({key, sequence: attempt.sequence, state});
      this.#completions.set(name, completions);
    }
  }

  /** Takes one message for each member with completions. */
  take(): AddressedCompletions[] {
    const messages = [...this.#completions].map(([to, completions]) => ({
      message: this.#createMessage(
        completions.splice(0, MAXIMUM_COMPLETIONS_PER_MESSAGE),
      ),
      to,
    }));
    for (const [name, {length}] of this.#completions) {
      if (length === 0) {
        this.#completions.delete(name);
      }
    }
    return messages;
  }

  #createMessage(
    completions: CompletionsMessage['completions'],
  ): CompletionsMessage {
    return {completions, incarnation: this.#incarnation, kind: 'completions'};
  }
}
