/** Connects the quotas of organisations to the messenger and to the view. */

import type {DaemonHost} from '../DaemonHost.js';
import type {RouteSource} from '../embedding/RouteSource.js';
import type {MembershipService} from '../membership/MembershipService.js';
import type {QuotaEffect, QuotaMessage, QuotaRule} from 'jackdawcove-quota';
import type {DaemonName, Milliseconds, Teardown} from 'jackdawcove-shared';

import {
  AggregatorChoice,
  QUOTA_INTERVAL_MILLISECONDS,
  QuotaAggregator,
  QuotaLimiter,
  quotaMessageSchema,
} from 'jackdawcove-quota';
import {mergeTeardowns} from 'jackdawcove-shared';

import {RateLimitedLog} from '../host/RateLimitedLog.js';
import {OrganisationCounts} from './OrganisationCounts.js';
import {QuotaView} from './QuotaView.js';

const METRICS_INTERVAL_MILLISECONDS: Milliseconds = 10_000;

/** Dependencies of the quotas. */
export type QuotaDependencies = {
  readonly host: DaemonHost;
  readonly membership: Pick<MembershipService, 'getView'>;
  readonly routes: RouteSource;
  readonly rule: QuotaRule;
};

/** Quotas of the organisations whose requests begin at this daemon. */
export type RequestQuotas = {
  /** Returns 0, or the time after which the organisation has room again. */
  admit(organisation: string, requestIdentifier: string): Milliseconds;
  /** Gives back the unit of a request that was not run. */
  giveBack(organisation: string): void;
};

/** Runs the limiter and the aggregator and applies their effects. */
class QuotaRunner implements RequestQuotas {
  readonly #aggregator: QuotaAggregator;
  readonly #choice = new AggregatorChoice();
  readonly #counts: OrganisationCounts;
  readonly #dependencies: QuotaDependencies;
  readonly #limiter: QuotaLimiter;
  readonly #log: RateLimitedLog;
  readonly #view: QuotaView;

  constructor(dependencies: QuotaDependencies) {
    const {host, membership, routes, rule} = dependencies;
    const {availabilityZone, name} = host.settings.daemon;
    this.#counts = new OrganisationCounts(host.metrics);
    this.#dependencies = dependencies;
    this.#log = new RateLimitedLog(host.log, host.clock);
    this.#view = new QuotaView({
      availabilityZone,
      daemon: name,
      getView: () => membership.getView(),
    });
    const shared = {
      findQuota: (organisation: string) => routes.findQuota(organisation),
      getKnownDaemons: () => this.#view.getKnownDaemons(),
      process: host.incarnation,
      rule,
    };
    this.#aggregator = new QuotaAggregator({
      ...shared,
      getPeers: () => this.#view.getPeers(),
    });
    this.#limiter = new QuotaLimiter({
      ...shared,
      rounding: host.randomNumber(),
      startedAt: host.clock(),
    });
  }

  register(): Teardown {
    const {host} = this.#dependencies;
    return mergeTeardowns(
      host.messenger.registerListener('quota', (message, {daemon}) => {
        const parsed = quotaMessageSchema.safeParse(message);
        if (parsed.success) {
          this.#handle(daemon, parsed.data);
        } else {
          host.metrics.increment('messages.malformed');
        }
      }),
      host.registerTicker(QUOTA_INTERVAL_MILLISECONDS, () => {
        this.#tick();
      }),
      host.registerTicker(METRICS_INTERVAL_MILLISECONDS, () => {
        this.#counts.publish();
      }),
    );
  }

  admit(organisation: string, requestIdentifier: string): Milliseconds {
    const {host} = this.#dependencies;
    const now = host.clock();
    const delay = this.#limiter.admit(organisation, now);
    this.#counts.record(organisation, delay === 0);
    if (delay === 0 && this.#limiter.isSurging(organisation, now)) {
      this.#report(now);
    }
    if (delay > 0) {
      host.metrics.increment('quota.refused');
      this.#log.write(
        'quotaExceeded',
        {
          isAggregatorInContact: this.#limiter.isInContact(now),
          organisation,
          request: requestIdentifier,
          result: 'quotaExceeded',
          retryAfterMilliseconds: Math.round(delay),
        },
        'request refused: its organisation is over its quota',
      );
    }
    return delay;
  }

  giveBack(organisation: string): void {
    this.#limiter.giveBack(organisation, this.#dependencies.host.clock());
  }

  #tick(): void {
    const {host, routes} = this.#dependencies;
    if (!routes.hasQuotas()) {
      return;
    }
    const now = host.clock();
    this.#view.update(now);
    this.#report(now);
    this.#applyEffects(this.#aggregator.tick(now));
  }

  #report(now: Milliseconds): void {
    const aggregator = this.#choice.choose(this.#view.getCandidates(), now);
    if (aggregator !== undefined) {
      this.#send(aggregator, this.#limiter.createReport());
    }
  }

  #handle(from: DaemonName, message: QuotaMessage): void {
    const now = this.#dependencies.host.clock();
    switch (message.kind) {
      case 'answer':
        if (this.#choice.recordAnswer(from)) {
          this.#limiter.handleAnswer(message, now);
        }
        break;
      case 'report':
        this.#applyEffects(this.#aggregator.handleReport(from, message, now));
        break;
      case 'sums':
        this.#applyEffects(this.#aggregator.handleSums(from, message, now));
        break;
    }
  }

  #send(to: DaemonName, message: QuotaMessage): void {
    const {messenger, settings} = this.#dependencies.host;
    if (to === settings.daemon.name) {
      this.#handle(to, message);
    } else {
      messenger.sendBrief(to, 'quota', message);
    }
  }

  #applyEffects(effects: readonly QuotaEffect[]): void {
    const {log, metrics} = this.#dependencies.host;
    for (const effect of effects) {
      switch (effect.kind) {
        case 'limitChanged':
          this.#recordLimit(effect.organisation, effect.isLimited);
          break;
        case 'send':
          this.#send(effect.to, effect.message);
          break;
        case 'started':
          metrics.gauge('quota.aggregating', 1);
          log.info('this daemon sums the quotas of daemons now');
          break;
        case 'stopped':
          metrics.gauge('quota.aggregating', 0);
          log.info('no daemon reports its quotas to this daemon any longer');
          break;
      }
    }
  }

  #recordLimit(organisation: string, isLimited: boolean): void {
    const {host, routes} = this.#dependencies;
    const quota = routes.findQuota(organisation);
    if (isLimited) {
      host.metrics.increment('quota.limited');
      this.#log.write('quotaLimited', {...quota}, 'organisation is limited');
    } else {
      host.metrics.increment('quota.lifted');
      this.#log.write(
        'quotaLifted',
        {organisation},
        'organisation is no longer limited',
      );
    }
  }
}

/** The running quotas. */
export type QuotaRegistration = {
  readonly quotas: RequestQuotas;
  readonly teardown: Teardown;
};

/**
 * Starts the quotas. While the configuration holds none, nothing is sent.
 *
 * @example
 * const {quotas, teardown} = registerQuota({host, membership, routes, rule});
 * quotas.admit('north-grocers', requestIdentifier);
 */
export function registerQuota(
  dependencies: QuotaDependencies,
): QuotaRegistration {
  const runner = new QuotaRunner(dependencies);
  return {quotas: runner, teardown: runner.register()};
}
