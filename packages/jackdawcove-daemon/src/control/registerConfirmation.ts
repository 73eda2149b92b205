/** Asks the voters whether the applied configuration is current, and answers others. */

import type {DaemonHost} from '../DaemonHost.js';
import type {
  ConfigurationFreshness,
  ConfirmedRevision,
  Moment,
} from 'jackdawcove-organisations';
import type {DaemonName, Teardown} from 'jackdawcove-shared';

import {mergeTeardowns} from 'jackdawcove-shared';
import {z} from 'zod';

import {CONFIRMATION_TICK_MILLISECONDS} from './ControlConstants.js';

const confirmationMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    ageMilliseconds: z.number().min(0),
    kind: z.literal('answer'),
    number: z.int(),
    revision: z.int().min(0),
  }),
  z.object({kind: z.literal('request'), number: z.int()}),
]);

type ConfirmationMessage = z.infer<typeof confirmationMessageSchema>;

/** Dependencies of the requests for confirmations. */
export type ConfirmationDependencies = {
  readonly freshness: ConfigurationFreshness;
  /** Newest quorum contact of the local voter; undefined unless it leads. */
  readonly getQuorumContact: () => ConfirmedRevision | undefined;
  readonly getVoters: () => readonly DaemonName[];
  readonly host: DaemonHost;
  /** Whether the applied configuration holds organisations, or may. */
  readonly isNeeded: () => boolean;
};

class ConfirmationRuntime {
  readonly #dependencies: ConfirmationDependencies;
  /** Position of the voter that is asked next. */
  #position: number;

  constructor(dependencies: ConfirmationDependencies) {
    this.#dependencies = dependencies;
    const {randomNumber} = dependencies.host;
    this.#position = Math.floor(
      randomNumber() * dependencies.getVoters().length,
    );
  }

  tick(): void {
    const {freshness, host, isNeeded} = this.#dependencies;
    if (!isNeeded()) {
      return;
    }
    const moment = this.#getMoment();
    if (this.#recordLeadership(moment)) {
      return;
    }
    const voter = this.#getNextVoter();
    const number =
      voter === undefined ? undefined : freshness.beginRequest(moment);
    if (voter !== undefined && number !== undefined) {
      this.#position += 1;
      this.#send(host, voter, {kind: 'request', number});
    }
  }

  receive(message: unknown, source: DaemonName): void {
    const {freshness, host} = this.#dependencies;
    const parsed = confirmationMessageSchema.safeParse(message);
    if (!parsed.success) {
      host.metrics.increment('control.malformed');
      return;
    }
    const {data} = parsed;
    const moment = this.#getMoment();
    if (data.kind === 'answer') {
      freshness.recordAnswer(data.number, data, moment);
      return;
    }
    this.#recordLeadership(moment);
    const confirmation = freshness.getConfirmation(moment);
    if (confirmation !== undefined) {
      const {number} = data;
      this.#send(host, source, {kind: 'answer', number, ...confirmation});
    }
  }

  #send(
    {messenger}: DaemonHost,
    to: DaemonName,
    message: ConfirmationMessage,
  ): void {
    messenger.sendBrief(to, 'confirmation', message);
  }

  #getMoment(): Moment {
    const {clock, wallClock} = this.#dependencies.host;
    return {now: clock(), wallTime: wallClock()};
  }

  #recordLeadership(moment: Moment): boolean {
    const {freshness, getQuorumContact} = this.#dependencies;
    const contact = getQuorumContact();
    if (contact !== undefined) {
      freshness.recordLeadership(contact, moment);
    }
    return contact !== undefined;
  }

  #getNextVoter(): DaemonName | undefined {
    const {getVoters, host} = this.#dependencies;
    const {name} = host.settings.daemon;
    const voters = getVoters().filter((voter) => voter !== name);
    return voters[this.#position % Math.max(1, voters.length)];
  }
}

/**
 * Starts to ask for confirmations and to answer other daemons.
 *
 * @example
 * const teardown = registerConfirmation({freshness, host, ...control});
 */
export function registerConfirmation(
  dependencies: ConfirmationDependencies,
): Teardown {
  const {messenger, registerTicker} = dependencies.host;
  const runtime = new ConfirmationRuntime(dependencies);
  return mergeTeardowns(
    messenger.registerListener('confirmation', (message, {daemon}) => {
      runtime.receive(message, daemon);
    }),
    registerTicker(CONFIRMATION_TICK_MILLISECONDS, () => {
      runtime.tick();
    }),
  );
}
