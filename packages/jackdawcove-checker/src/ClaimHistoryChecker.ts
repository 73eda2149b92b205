/** Checks histories of non-idempotent requests against logs of the backend servers. */

import type {Executed} from 'jackdawcove-shared';

/** One send of a request by a caller, and the outcome reported to the caller. */
export type ClaimSend = {
  readonly content: string;
  readonly key: string;
  /** Number of the send, unique in the history. */
  readonly number: number;
  /** Undefined if the answer was lost. */
  readonly reported?: ReportedOutcome;
};

/** Outcome of a request as reported to its caller. */
export type ReportedOutcome = {
  /** Answer of the backend server, if the caller received one. */
  readonly answer?: string;
  readonly at: number;
  readonly executed: Executed;
};

/** One run of a request in the log of a backend server. */
export type ClaimRun = {
  readonly answer: string;
  readonly content: string;
  readonly key: string;
  readonly sendNumber: number;
  readonly startedAt: number;
};

/** History of sends and runs. */
export type ClaimHistory = {
  readonly runs: readonly ClaimRun[];
  readonly sends: readonly ClaimSend[];
};

/** Kind of a violation. */
export type ClaimViolationKind =
  | 'answerDiffers'
  | 'ranButReportedNotRun'
  | 'ranTwice'
  | 'notRunButReportedRun';

/** Violation of a promise about one key. */
export type ClaimViolation = {
  readonly detail: string;
  readonly key: string;
  readonly kind: ClaimViolationKind;
};

/**
 * Checks that each key ran at most once, that reports of "run" and "not run" are
 * true, and that every answer that a caller received for a key is the answer of a
 * run of that key.
 *
 * @example
 * new ClaimHistoryChecker(history).check(); // [] if every promise was kept
 */
export class ClaimHistoryChecker {
  readonly #history: ClaimHistory;

  constructor(history: ClaimHistory) {
    this.#history = history;
  }

  /** Returns every violation. */
  check(): readonly ClaimViolation[] {
    const keys = new Set(this.#history.sends.map(({key}) => key));
    return [...keys].flatMap((key) => [
      ...this.#checkRunCount(key),
      ...this.#checkReportedOutcomes(key),
    ]);
  }

  #checkRunCount(key: string): ClaimViolation[] {
    const runs = this.#getRuns(key);
    if (runs.length <= 1) {
      return [];
    }
    const detail = runs
      .map(
        ({sendNumber, startedAt}) =>
          `send ${String(sendNumber)} at ${String(startedAt)}`,
      )
      .join(', ');
    return [{detail, key, kind: 'ranTwice'}];
  }

  #checkReportedOutcomes(key: string): ClaimViolation[] {
    return this.#history.sends
      .filter((send) => send.key === key)
      .flatMap((send) =>
        send.reported === undefined ? [] : this.#checkSend(send, send.reported),
      );
  }

  #checkSend(send: ClaimSend, reported: ReportedOutcome): ClaimViolation[] {
    const runs = this.#getRuns(send.key);
    const detail = `send ${String(send.number)} at ${String(reported.at)}`;
    const violations: ClaimViolation[] = [];
    const hasRun = runs.some(
      (run) =>
        run.sendNumber === send.number ||
        (run.content === send.content && run.startedAt <= reported.at),
    );
    if (reported.executed === 'no' && hasRun) {
      violations.push({detail, key: send.key, kind: 'ranButReportedNotRun'});
    }
    if (reported.executed === 'yes' && !hasRun) {
      violations.push({detail, key: send.key, kind: 'notRunButReportedRun'});
    }
    const isAnswerMismatch =
      reported.answer !== undefined &&
      !runs.some(({answer}) => answer === reported.answer);
    if (isAnswerMismatch) {
      violations.push({detail, key: send.key, kind: 'answerDiffers'});
    }
    return violations;
  }

  #getRuns(key: string): readonly ClaimRun[] {
    return this.#history.runs.filter((run) => run.key === key);
  }
}
