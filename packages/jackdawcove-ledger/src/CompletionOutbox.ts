/** Completions of claims that have not been sent to the ledger members yet. */

import type {ClaimAttempt} from './ClaimAttempt.js';
import type {AttemptState, LedgerMessageOf} from './LedgerMessages.js';
import type {DaemonName, Incarnation} from 'jackdawcove-shared';

import {MAXIMUM_COMPLETIONS_PER_MESSAGE} from './LedgerConstants.js';

type CompletionsMessage = LedgerMessageOf<'completions'>;

/** A message and its receiver. */
export type AddressedCompletions = {
  readonly message: CompletionsMessage;
  readonly to: DaemonName;
};

/**
 * Collects completions by member. If one is lost, a resend may be refused with
 * a less precise result, but no request runs twice.
 */
export class CompletionOutbox {
  readonly #completions = new Map<
    DaemonName,
    CompletionsMessage['completions']
  >();
  readonly #incarnation: Incarnation;

  constructor(incarnation: Incarnation) {
    this.#incarnation = incarnation;
  }

  /** Adds the completion of a claim for every member of its group. */
  add(claim: ClaimAttempt, state: AttemptState): void {
    const {attempt, key} = claim;
    for (const {name} of claim.getGroup().members) {
      const completions = this.#completions.get(name) ?? [];
      completions.push({key, sequence: attempt.sequence, state});
      this.#completions.set(name, completions);
    }
  }

  /** Removes and returns one message for each member that has completions. */
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
