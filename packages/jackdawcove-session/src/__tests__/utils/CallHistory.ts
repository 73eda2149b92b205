/** History of calls, and invariants that must hold for each of them. */

import type {IncomingCall} from '../../SessionTypes.js';
import type {CallOutcome} from './poolFixtures.js';

type Entry = {
  expectedAnswer: string;
  expectedRequest: string;
  outcome: CallOutcome | undefined;
  readonly requests: string[];
  runs: number;
};

/** Records runs and outcomes of calls and finds violated invariants. */
export class CallHistory {
  readonly #entries = new Map<string, Entry>();

  /** Returns the violations of the invariants. */
  findViolations(): readonly string[] {
    return [...this.#entries].flatMap(([attempt, entry]) =>
      findEntryViolations(entry).map((violation) => `${attempt}: ${violation}`),
    );
  }

  /** Returns how often an attempt ran. */
  getRuns(attemptIdentifier: string): number {
    return this.#entries.get(attemptIdentifier)?.runs ?? 0;
  }

  expect(attempt: string, request: string, answer: string): void {
    this.#entries.set(attempt, {
      expectedAnswer: answer,
      expectedRequest: request,
      outcome: undefined,
      requests: [],
      runs: 0,
    });
  }

  recordOutcome(attempt: string, outcome: CallOutcome): void {
    const entry = this.#entries.get(attempt);
    if (entry !== undefined) {
      entry.outcome = outcome;
    }
  }

  /** Runs a call once its request is complete and sends the expected answer. */
  serve(incoming: IncomingCall, answer: (bytes: Buffer) => void): void {
    const entry = this.#entries.get(incoming.head.attemptIdentifier);
    const parts: Uint8Array[] = [];
    incoming.accept({
      onBody: (bytes) => {
        parts.push(Buffer.from(bytes));
        incoming.grantCredit(bytes.length);
      },
      onCancel: () => undefined,
      onEnd: () => {
        if (entry !== undefined) {
          entry.runs += 1;
          entry.requests.push(Buffer.concat(parts).toString());
          answer(Buffer.from(entry.expectedAnswer));
        }
      },
    });
  }
}

function findEntryViolations(entry: Entry): readonly string[] {
  const {expectedAnswer, expectedRequest, outcome, requests, runs} = entry;
  const violations: string[] = [];
  const isReportedNotRun =
    outcome?.kind === 'refused' ||
    outcome?.failure?.kind === 'notSent' ||
    outcome?.resolutions.includes('neverSeen') === true;
  if (isReportedNotRun && runs > 0) {
    violations.push('ran although it was reported as not run');
  }
  if (runs > 1) {
    violations.push('ran twice');
  }
  if (requests.some((request) => request !== expectedRequest)) {
    violations.push('ran with a different request');
  }
  if (outcome?.kind === 'end' && outcome.body.toString() !== expectedAnswer) {
    violations.push('received a different answer');
  }
  return violations;
}
