/** Runs the record spread on this daemon. */

import type {
  RevisionSpread,
  SpreadEffect,
  SpreadMessage,
  SpreadRecord,
} from 'jackdawcove-revision';
import type {DaemonName, Failure, MonotonicClock} from 'jackdawcove-shared';
import type {RecordFile} from 'jackdawcove-storage';

import {isErr} from 'true-myth/result';
import {match} from 'ts-pattern';

/** Event of the record spread. */
export type SpreadEvent =
  | {readonly detail: string; readonly kind: 'diverged'}
  | {readonly failure: Failure; readonly kind: 'copyFailed'}
  | {readonly kind: 'applied'; readonly record: SpreadRecord};

/** Options of the spread runtime. */
export type SpreadRuntimeOptions = {
  readonly clock: MonotonicClock;
  /** Stores the applied records; undefined without a data folder. */
  readonly recordFile: Pick<RecordFile, 'replace'> | undefined;
  readonly onEvent: (event: SpreadEvent) => void;
  readonly send: (to: DaemonName, message: SpreadMessage) => void;
  readonly spread: RevisionSpread;
};

/**
 * Executes the effects of the record spread on this daemon.
 *
 * @example
 * const runtime = new SpreadRuntime(options);
 * runtime.publish([record]);
 */
export class SpreadRuntime {
  readonly #options: SpreadRuntimeOptions;

  constructor(options: SpreadRuntimeOptions) {
    this.#options = options;
  }

  /** Distributes records that this daemon knows to be committed. */
  publish(records: readonly SpreadRecord[]): void {
    const {clock, spread} = this.#options;
    this.#applyEffects(spread.publish(records, clock()));
  }

  /** Handles a message from another daemon. */
  receive(message: SpreadMessage, source: DaemonName): void {
    const {clock, spread} = this.#options;
    this.#applyEffects(spread.receive(message, source, clock()));
  }

  /** Runs the rounds of the spread that are due. */
  tick(): void {
    const {clock, spread} = this.#options;
    this.#applyEffects(spread.tick(clock()));
  }

  #applyEffects(effects: readonly SpreadEffect[]): void {
    for (const effect of effects) {
      this.#execute(effect);
    }
  }

  #execute(effect: SpreadEffect): void {
    const {onEvent, send} = this.#options;
    match(effect)
      .with({kind: 'send'}, ({message, to}) => {
        send(to, message);
      })
      .with({kind: 'persist'}, ({number, records}) => {
        void this.#persist(number, records);
      })
      .with({kind: 'apply'}, ({record}) => {
        onEvent({kind: 'applied', record});
      })
      .with({kind: 'diverged'}, ({peer, version}) => {
        const detail = `${peer} ${version.topic} ${String(version.version)}`;
        onEvent({detail, kind: 'diverged'});
      })
      .exhaustive();
  }

  async #persist(
    number: number,
    records: readonly SpreadRecord[],
  ): Promise<void> {
    const {clock, onEvent, recordFile, spread} = this.#options;
    const stored = await recordFile?.replace(records);
    if (stored !== undefined && isErr(stored)) {
      // The daemon has to apply accepted records even if it cannot store them.
      onEvent({failure: stored.error, kind: 'copyFailed'});
    }
    this.#applyEffects(spread.persisted(number, clock()));
  }
}
