/** Collects the effects of a command and defers those that need durable state. */

import type {RaftLog} from './RaftLog.js';
import type {Entry, RaftMessage, Snapshot} from './RaftMessages.js';
import type {LogEnd, RaftEffect, RaftHardState, RaftSave} from './RaftTypes.js';
import type {Replica} from './Replica.js';

import {PersistBarrier} from './PersistBarrier.js';

/** Kinds of messages that a leader may send before its own log is durable. */
const LEADER_MESSAGE_KINDS: ReadonlySet<RaftMessage['kind']> = new Set([
  'appendRequest',
  'snapshotRequest',
  'timeoutNow',
]);

/**
 * Output buffer of one replica.
 *
 * @example
 * output.saveEntries([entry]);
 * output.send(message, leader);
 * output.flush(hardState); // [persist]; the message follows once it is durable
 */
export class RaftOutput {
  #effects: RaftEffect[] = [];
  #entries: Entry[] = [];
  readonly #barrier = new PersistBarrier();
  readonly #log: RaftLog;
  #outbox: RaftEffect[] = [];
  #savedHardState: RaftHardState;
  #snapshot: Snapshot | undefined;

  constructor(log: RaftLog, hardState: RaftHardState) {
    this.#log = log;
    this.#savedHardState = hardState;
  }

  /** Adds an effect that does not depend on durable state. */
  add(effect: RaftEffect): void {
    this.#effects.push(effect);
  }

  /** Persists entries; they replace the stored entries from the first index on. */
  saveEntries(entries: readonly Entry[]): void {
    this.#entries.push(...entries);
  }

  /** Persists a snapshot and the entries that follow it. */
  saveSnapshot(snapshot: Snapshot): void {
    this.#snapshot = snapshot;
  }

  /**
   * Sends a message. Messages that only a leader sends are sent immediately, all
   * others after the preceding persists are durable.
   */
  send(message: RaftMessage, to: Replica): void {
    const effect: RaftEffect = {kind: 'send', message, to};
    if (LEADER_MESSAGE_KINDS.has(message.kind)) {
      this.#effects.push(effect);
    } else {
      this.#outbox.push(effect);
    }
  }

  /** Releases deferred effects; returns the end of the log that is durable now. */
  release(number: number): LogEnd | undefined {
    const {effects, end} = this.#barrier.release(number);
    this.#effects.push(...effects);
    return end;
  }

  /** Returns the effects of the current command and clears the buffer. */
  flush(hardState: RaftHardState): readonly RaftEffect[] {
    const save = this.#takePendingSave(hardState);
    const persists: RaftEffect[] =
      save === undefined
        ? []
        : [
            {
              kind: 'persist',
              number: this.#barrier.begin(this.#log.getEnd()),
              save,
            },
          ];
    const sends = this.#outbox.filter((effect) => !this.#barrier.defer(effect));
    const effects = [...persists, ...this.#effects, ...sends];
    this.#effects = [];
    this.#outbox = [];
    return effects;
  }

  #takePendingSave(hardState: RaftHardState): RaftSave | undefined {
    const saved = this.#savedHardState;
    const isHardStateNew =
      hardState.term !== saved.term || hardState.vote !== saved.vote;
    const entries = this.#entries;
    const snapshot = this.#snapshot;
    this.#entries = [];
    this.#savedHardState = hardState;
    this.#snapshot = undefined;
    if (snapshot !== undefined) {
      const following = this.#log.getEntriesAfter(snapshot.index);
      return {entries: following, hardState, kind: 'snapshot', snapshot};
    }
    return entries.length > 0 || isHardStateNew
      ? {
          entries,
          hardState: isHardStateNew ? hardState : undefined,
          kind: 'update',
        }
      : undefined;
  }
}
