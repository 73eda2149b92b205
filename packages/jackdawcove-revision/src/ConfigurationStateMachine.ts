/** Replicated state machine of the fleet configuration. */

import type {
  ConfigurationChange,
  ConfigurationRecord,
  HistoryRecord,
  VoterChange,
} from './ConfigurationChange.js';
import type {ConfigurationCommand} from './ConfigurationCommand.js';
import type {
  ChangeOutcome,
  ConfigurationState,
  KeptDocument,
  KeptResult,
} from './ConfigurationState.js';
import type {Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {createFailure, digestHex} from 'jackdawcove-shared';
import {err, ok} from 'true-myth/result';
import {match} from 'ts-pattern';

import {ALLOWED_VOTER_COUNTS} from './ConfigurationChange.js';
import {configurationCommandSchema} from './ConfigurationCommand.js';
import {
  configurationStateSchema,
  INITIAL_CONFIGURATION_STATE,
} from './ConfigurationState.js';
import {
  MAXIMUM_KEPT_CHARACTERS,
  MAXIMUM_KEPT_DOCUMENTS,
  MAXIMUM_KEPT_HISTORY,
  MAXIMUM_KEPT_RESULTS,
} from './RevisionConstants.js';

/** Part of the state that a command has changed. */
export type ChangedPart = 'configuration' | 'ledgerAssignments' | 'voterTarget';

function digestChange(change: ConfigurationChange | VoterChange): string {
  const entries = Object.entries(change);
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return digestHex(JSON.stringify(entries));
}

function formatWinner(winner: HistoryRecord): string {
  const {author, changeIdentifier, revision} = winner;
  return `revision ${String(revision)} is change ${changeIdentifier} of ${author}`;
}

function trimDocuments(documents: readonly KeptDocument[]): KeptDocument[] {
  let characters = 0;
  const newestFirst = documents.toReversed().filter((document, position) => {
    characters += document.documentText.length;
    const isWithinLimit =
      position < MAXIMUM_KEPT_DOCUMENTS &&
      characters <= MAXIMUM_KEPT_CHARACTERS;
    return position === 0 || isWithinLimit;
  });
  return newestFirst.toReversed();
}

function createRefusal(
  result:
    | 'invalidConfiguration'
    | 'notFound'
    | 'revisionConflict'
    | 'unsafeVoterChange',
  detail: string,
): ChangeOutcome {
  return {failure: createFailure(result, detail), kind: 'refused'};
}

/**
 * State machine of the fleet configuration. It is deterministic: the same commands
 * in the same order yield the same state and outcomes on every replica.
 *
 * @example
 * const machine = new ConfigurationStateMachine();
 * machine.apply({acceptedAt: 0, change, kind: 'change'});
 * machine.findOutcome(change); // {kind: 'configurationAccepted', …}
 */
export class ConfigurationStateMachine {
  #results: Map<string, KeptResult>;
  #state: ConfigurationState;

  constructor(state: ConfigurationState = INITIAL_CONFIGURATION_STATE) {
    this.#results = new Map(
      state.results.map((result) => [result.changeIdentifier, result]),
    );
    this.#state = {...state, results: []};
  }

  /** Applies a committed command; returns the part of the state it changed. */
  apply(command: unknown): ChangedPart | undefined {
    const parsed = configurationCommandSchema.safeParse(command);
    return parsed.success ? this.#applyCommand(parsed.data) : undefined;
  }

  /** Replaces the state by the state of a snapshot. */
  restore(snapshot: string): Result<undefined, Failure> {
    const state = configurationStateSchema.safeParse(JSON.parse(snapshot));
    if (!state.success) {
      return err(createFailure('storageDamaged', 'the snapshot'));
    }
    this.#results = new Map(
      state.data.results.map((result) => [result.changeIdentifier, result]),
    );
    this.#state = {...state.data, results: []};
    return ok(undefined);
  }

  /** Serializes the state for a snapshot. */
  createSnapshot(): string {
    const results = [...this.#results.values()];
    return JSON.stringify({...this.#state, results});
  }

  /** Returns the current configuration, or undefined before the first change. */
  getConfiguration(): ConfigurationRecord | undefined {
    return this.getRecord(this.#state.revision);
  }

  /** Returns the history of accepted changes, newest first. */
  getHistory(): readonly HistoryRecord[] {
    return this.#state.history.toReversed();
  }

  getLedgerAssignments(): ConfigurationState['ledgerAssignments'] {
    return this.#state.ledgerAssignments;
  }

  /** Returns the configuration of a revision, or undefined if no longer kept. */
  getRecord(revision: number): ConfigurationRecord | undefined {
    const record = this.#findHistoryRecord(revision);
    const document = this.#state.documents.find(
      (kept) => kept.revision === revision,
    );
    return (
      record && document && {...record, documentText: document.documentText}
    );
  }

  getRevision(): number {
    return this.#state.revision;
  }

  getVoterTarget(): readonly string[] {
    return this.#state.voterTarget;
  }

  /** Returns the outcome of an applied change, also for a resend of it. */
  findOutcome(
    change: ConfigurationChange | VoterChange,
  ): ChangeOutcome | undefined {
    const kept = this.#results.get(change.changeIdentifier);
    if (kept === undefined || kept.contentDigest === digestChange(change)) {
      return kept?.outcome;
    }
    const failure = createFailure(
      'changeIdentifierReused',
      change.changeIdentifier,
    );
    return {failure, kind: 'refused'};
  }

  #applyCommand(command: ConfigurationCommand): ChangedPart | undefined {
    return match(command)
      .with({kind: 'change'}, ({acceptedAt, change}) =>
        this.#applyOnce(change, () => this.#applyChange(change, acceptedAt)),
      )
      .with({kind: 'voterChange'}, ({change}) =>
        this.#applyOnce(change, () => this.#applyVoterChange(change)),
      )
      .with({kind: 'ledgerAssignments'}, ({content, version}) =>
        this.#applyLedgerAssignments(content, version),
      )
      .exhaustive();
  }

  #applyOnce(
    change: ConfigurationChange | VoterChange,
    applyNew: () => ChangeOutcome,
  ): ChangedPart | undefined {
    const {changeIdentifier} = change;
    if (this.#results.has(changeIdentifier)) {
      return undefined;
    }
    const contentDigest = digestChange(change);
    const outcome = applyNew();
    this.#results.set(changeIdentifier, {
      changeIdentifier,
      contentDigest,
      outcome,
    });
    this.#evictOldestResult();
    return match(outcome)
      .with({kind: 'configurationAccepted'}, () => 'configuration' as const)
      .with({kind: 'votersAccepted'}, () => 'voterTarget' as const)
      .with({kind: 'refused'}, () => undefined)
      .exhaustive();
  }

  #evictOldestResult(): void {
    const [oldest] = this.#results.keys();
    if (this.#results.size > MAXIMUM_KEPT_RESULTS && oldest !== undefined) {
      this.#results.delete(oldest);
    }
  }

  #applyChange(change: ConfigurationChange, acceptedAt: number): ChangeOutcome {
    const {author, changeIdentifier, documentText, labels, reason} = change;
    const refusal = this.#findRefusal(change);
    if (refusal !== undefined) {
      return refusal;
    }
    const revision = this.#state.revision + 1;
    const record: HistoryRecord = {
      acceptedAt,
      author,
      changeIdentifier,
      digest: digestHex(documentText),
      reason,
      revision,
    };
    const documents = [...this.#state.documents, {documentText, revision}];
    const history = [...this.#state.history, record];
    this.#state = {
      ...this.#state,
      documents: trimDocuments(documents),
      history: history.slice(-MAXIMUM_KEPT_HISTORY),
      label: labels?.next ?? this.#state.label,
      revision,
    };
    return {kind: 'configurationAccepted', record};
  }

  #findRefusal({
    expectedRevision,
    labels,
  }: ConfigurationChange): ChangeOutcome | undefined {
    const {label, revision} = this.#state;
    if (labels === undefined) {
      return expectedRevision === revision
        ? undefined
        : this.#createRevisionConflict(expectedRevision);
    }
    if (labels.expected !== label) {
      return createRefusal(
        'revisionConflict',
        `the current label is ${String(label)}`,
      );
    }
    return labels.next > label
      ? undefined
      : createRefusal(
          'invalidConfiguration',
          `label ${String(labels.next)} is not above ${String(label)}`,
        );
  }

  #createRevisionConflict(expectedRevision: number): ChangeOutcome {
    const current = `the current revision is ${String(this.#state.revision)}`;
    const winner = this.#findHistoryRecord(expectedRevision + 1);
    const detail =
      winner === undefined ? current : `${formatWinner(winner)}; ${current}`;
    return createRefusal('revisionConflict', detail);
  }

  #applyVoterChange({voters}: VoterChange): ChangeOutcome {
    const names = [...new Set(voters)].sort();
    const isAllowed =
      names.length === voters.length &&
      ALLOWED_VOTER_COUNTS.includes(names.length);
    if (!isAllowed) {
      const counts = ALLOWED_VOTER_COUNTS.join(', ');
      return createRefusal('unsafeVoterChange', `allowed are ${counts} voters`);
    }
    this.#state = {...this.#state, voterTarget: names};
    return {kind: 'votersAccepted', voters: names};
  }

  #applyLedgerAssignments(
    content: unknown,
    version: number,
  ): ChangedPart | undefined {
    if (version !== this.#state.ledgerAssignments.version + 1) {
      return undefined;
    }
    this.#state = {...this.#state, ledgerAssignments: {content, version}};
    return 'ledgerAssignments';
  }

  #findHistoryRecord(revision: number): HistoryRecord | undefined {
    const [oldest] = this.#state.history;
    return oldest && this.#state.history[revision - oldest.revision];
  }
}
