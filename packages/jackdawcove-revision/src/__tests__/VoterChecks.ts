/** Safety checks of a simulated run of voters. */

import type {SimulatedVoter} from './SimulatedVoter.js';
import type {VoterClient} from './VoterClient.js';
import type {Entry, Snapshot} from 'jackdawcove-consensus';

import {createConfigurationModel, isLinearizable} from 'jackdawcove-checker';

/**
 * Checks that committed entries never change and that each term has at most one
 * leader; at the end, that no accepted change was lost and that the history is
 * linearizable.
 */
export class VoterChecks {
  /** Committed entries by index, as committed by the first voter. */
  readonly #committed = new Map<number, string>();
  readonly #leaders = new Map<number, string>();
  readonly #violations: string[];

  constructor(violations: string[]) {
    this.#violations = violations;
  }

  checkCommit(voter: SimulatedVoter, entry: Entry): void {
    const {content} = entry;
    const compared =
      content.kind === 'replicaSet'
        ? {
            ...content,
            replicaSet: {...content.replicaSet, replacing: undefined},
          }
        : content;
    const text = `${String(entry.term)} ${JSON.stringify(compared)}`;
    const committed = this.#committed.get(entry.index) ?? text;
    this.#committed.set(entry.index, committed);
    if (committed !== text) {
      const index = String(entry.index);
      this.#violations.push(
        `${voter.daemon} commits a different entry ${index}`,
      );
    }
  }

  checkLeader(voter: SimulatedVoter, term: number): void {
    const {identity} = voter.getReplica();
    const other = this.#leaders.get(term);
    this.#leaders.set(term, identity);
    if (other !== undefined) {
      this.#violations.push(
        `${other} and ${identity} both lead term ${String(term)}`,
      );
    }
  }

  checkSnapshot(voter: SimulatedVoter, {index, term}: Snapshot): void {
    const committed = this.#committed.get(index);
    if (committed?.startsWith(`${String(term)} `) === false) {
      this.#violations.push(
        `${voter.daemon} installs a different snapshot ${String(index)}`,
      );
    }
  }

  checkFinalState(
    clients: readonly VoterClient[],
    leader: SimulatedVoter | undefined,
  ): void {
    for (const client of clients) {
      client.finish();
      this.#violations.push(...client.violations);
    }
    if (this.#violations.length > 0) {
      return;
    }
    if (leader === undefined) {
      this.#violations.push('no leader after all faults ended');
      return;
    }
    this.#checkAcceptedChanges(clients, leader);
    const operations = clients.flatMap((client) => client.operations);
    if (!isLinearizable(createConfigurationModel(), operations)) {
      this.#violations.push('the history is not linearizable');
    }
  }

  getTermCount(): number {
    return this.#leaders.size;
  }

  #checkAcceptedChanges(
    clients: readonly VoterClient[],
    leader: SimulatedVoter,
  ): void {
    const revisions = new Map(
      leader.machine
        .getHistory()
        .map(({changeIdentifier, revision}) => [changeIdentifier, revision]),
    );
    for (const {change, output} of clients.flatMap((client) =>
      client.getAccepted(),
    )) {
      const revision = revisions.get(change.changeIdentifier);
      if (output.kind !== 'accepted' || output.revision !== revision) {
        this.#violations.push(`${change.changeIdentifier} was lost`);
      }
    }
  }
}
