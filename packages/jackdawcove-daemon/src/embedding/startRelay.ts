/** Starts the relay of an embedding program. */

import type {ControlRegistration} from '../control/registerControl.js';
import type {Relay, RelayDependencies} from '../relay/registerRelay.js';
import type {Embedding} from './EmbeddingTypes.js';

import {ConfigurationFreshness} from 'jackdawcove-organisations';
import {mergeTeardowns} from 'jackdawcove-shared';

import {
  CONFIRMATION_NUMBERS,
  VOTER_CONFIRMATION_MILLISECONDS,
} from '../control/ControlConstants.js';
import {registerConfirmation} from '../control/registerConfirmation.js';
import {registerQuota} from '../quota/registerQuota.js';
import {registerRelay} from '../relay/registerRelay.js';

/** Dependencies of the relay of an embedding program. */
export type EmbeddedRelayOptions = Omit<
  RelayDependencies,
  'dialect' | 'freshness' | 'quotas' | 'retryBudget'
> & {
  readonly control: Pick<ControlRegistration, 'getQuorumContact' | 'getVoters'>;
  readonly embedding: Embedding;
};

function createFreshness({
  embedding: {revocationMilliseconds},
  host: {randomNumber, settings},
  routes,
}: EmbeddedRelayOptions): ConfigurationFreshness | undefined {
  return revocationMilliseconds === undefined
    ? undefined
    : new ConfigurationFreshness({
        firstNumber: Math.floor(randomNumber() * CONFIRMATION_NUMBERS),
        getAppliedRevision: () => routes.getRevision(),
        ...(settings.control.voter
          ? {intervalMilliseconds: VOTER_CONFIRMATION_MILLISECONDS}
          : {}),
        revocationMilliseconds,
      });
}

/**
 * Starts the relay and, if removed keys must stop to work within a bound, the requests
 * for confirmations of the configuration; and the quotas.
 *
 * @example
 * const relay = startRelay({control, embedding, ...dependencies});
 */
export function startRelay(options: EmbeddedRelayOptions): Relay {
  const {control, embedding, host, routes} = options;
  const freshness = createFreshness(options);
  const quotaRegistration =
    embedding.quotaRule &&
    registerQuota({...options, rule: embedding.quotaRule});
  const relay = registerRelay({
    ...options,
    dialect: embedding.relayDialect,
    freshness,
    quotas: quotaRegistration?.quotas,
    retryBudget: embedding.retryBudget,
  });
  const removeConfirmation =
    freshness === undefined
      ? (): void => undefined
      : registerConfirmation({
          ...control,
          freshness,
          host,
          // Before there is a configuration too: it may hold organisations.
          isNeeded: () =>
            routes.getRevision() === 0 ||
            routes.getOrganisations() !== undefined,
        });
  return {
    ...relay,
    teardown: mergeTeardowns(
      removeConfirmation,
      quotaRegistration?.teardown ?? (() => undefined),
      relay.teardown,
    ),
  };
}
