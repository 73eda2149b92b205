/** Access of requests by the keys of organisations. */

import type {DaemonHost} from '../DaemonHost.js';
import type {RouteSource} from '../embedding/RouteSource.js';
import type {RequestFacts} from './RelayTypes.js';
import type {
  AccessDecision,
  ConfigurationFreshness,
  Moment,
} from 'jackdawcove-organisations';
import type {HttpHead} from 'jackdawcove-relay';
import type {Route} from 'jackdawcove-routes';

import {decideAccess} from 'jackdawcove-organisations';

import {RateLimitedLog} from '../host/RateLimitedLog.js';

/** Dependencies of the access of requests. */
export type RequestAccessOptions = {
  readonly freshness?: ConfigurationFreshness | undefined;
  readonly host: DaemonHost;
  readonly routes: RouteSource;
};

const CREDENTIAL_PATTERN = /^authorization:/im;

/** Decides access, counts and logs refusals. No key is logged. */
export class RequestAccess {
  readonly #freshness: ConfigurationFreshness | undefined;
  readonly #host: DaemonHost;
  #isConfirmed = true;
  readonly #log: RateLimitedLog;
  readonly #routes: RouteSource;

  constructor({freshness, host, routes}: RequestAccessOptions) {
    this.#freshness = freshness;
    this.#host = host;
    this.#log = new RateLimitedLog(host.log, host.clock);
    this.#routes = routes;
  }

  /**
   * Returns the organisation of a request, `open` if it needs none, or the result with
   * which it is refused.
   */
  decide(
    head: HttpHead,
    facts: RequestFacts,
    {isPublic = false, name}: Route,
    isCallOfInstance: boolean,
  ): AccessDecision {
    const table = this.#routes.getOrganisations();
    if (table === undefined) {
      return 'open';
    }
    const {key} = facts;
    if (key === undefined && CREDENTIAL_PATTERN.test(head.forwardedLines)) {
      // The head was read before the configuration had organisations.
      return 'configurationNotConfirmed';
    }
    const decision = decideAccess(
      {isCallOfInstance, isPublic, key},
      table,
      this.#freshness,
      this.#getMoment(),
    );
    if (decision === 'unauthenticated') {
      this.#recordRefusal('relay.unauthenticated', decision, facts, name);
    } else if (decision === 'configurationNotConfirmed') {
      this.#recordRefusal('relay.notConfirmed', decision, facts, name);
      this.checkConfirmation();
    }
    return decision;
  }

  /** Logs when the configuration stops or begins again to be confirmed. */
  checkConfirmation(): void {
    const freshness = this.#freshness;
    if (
      freshness === undefined ||
      this.#routes.getOrganisations() === undefined
    ) {
      return;
    }
    const moment = this.#getMoment();
    const isConfirmed = freshness.isConfirmed(moment);
    if (isConfirmed === this.#isConfirmed) {
      return;
    }
    this.#isConfirmed = isConfirmed;
    const {log} = this.#host;
    const revision = this.#routes.getRevision();
    if (isConfirmed) {
      log.info({revision}, 'a voter confirmed the configuration again');
    } else {
      log.warn(
        {ageMilliseconds: Math.round(freshness.getAge(moment)), revision},
        'no voter confirmed the configuration recently; requests with keys are refused',
      );
    }
  }

  #getMoment(): Moment {
    const {clock, wallClock} = this.#host;
    return {now: clock(), wallTime: wallClock()};
  }

  #recordRefusal(
    metric: string,
    result: string,
    {key, requestIdentifier}: RequestFacts,
    route: string,
  ): void {
    this.#host.metrics.increment(metric);
    this.#log.write(
      'accessRefused',
      {
        credential:
          key === undefined ? 'none' : key === '' ? 'malformed' : 'key',
        request: requestIdentifier,
        result,
        revision: this.#routes.getRevision(),
        route,
      },
      'access refused',
    );
  }
}
