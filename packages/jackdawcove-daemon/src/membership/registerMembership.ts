/** Connects membership and the lease of the local backend server to the daemon. */

import type {DaemonHost} from '../DaemonHost.js';
import type {
  LocalBackendServer,
  MembershipService,
  RefusedAnnouncement,
  ViewListener,
} from './MembershipService.js';
import type {
  Announcement,
  DaemonRecord,
  LocalDaemon,
  MembershipEffect,
  Withdrawal,
} from 'jackdawcove-membership';
import type {
  Address,
  Failure,
  Incarnation,
  Milliseconds,
  Teardown,
  WallClock,
} from 'jackdawcove-shared';

import {
  AnnouncementLeases,
  findAnnouncementFault,
  Membership,
  readMembershipMessage,
  TICK_INTERVAL_MS,
} from 'jackdawcove-membership';
import {createFailure, formatAddress, mergeTeardowns} from 'jackdawcove-shared';
import {Result} from 'true-myth';
import {match} from 'ts-pattern';

import {RateLimitedLog} from '../host/RateLimitedLog.js';

/** Membership of the running daemon and the function that stops it. */
export type MembershipRegistration = {
  readonly service: MembershipService;
  readonly teardown: Teardown;
};

function createIncarnationSource(wallClock: WallClock): () => Incarnation {
  let last = 0;
  return () => {
    last = Math.max(last + 1, Math.floor(wallClock()));
    return last;
  };
}

function createLocalDaemon(host: DaemonHost): LocalDaemon {
  const {control, daemon} = host.settings;
  return {
    address: host.addresses.fleet,
    administrationAddress: host.addresses.administration,
    availabilityZone: daemon.availabilityZone,
    incarnation: host.incarnation,
    isVoter: control.voter,
    name: daemon.name,
    region: daemon.region,
  };
}

/** Runs membership and the announcement leases and applies their effects. */
class MembershipRunner implements MembershipService {
  readonly #host: DaemonHost;
  readonly #leases: AnnouncementLeases;
  readonly #listeners = new Set<ViewListener>();
  readonly #membership: Membership;
  readonly #refusalLog: RateLimitedLog;

  constructor(host: DaemonHost) {
    const {intervalMilliseconds, leaseMilliseconds} =
      host.settings.announcement;
    this.#host = host;
    this.#leases = new AnnouncementLeases(
      createIncarnationSource(host.wallClock),
      leaseMilliseconds,
      intervalMilliseconds,
    );
    this.#refusalLog = new RateLimitedLog(host.log, host.clock);
    this.#membership = new Membership({
      local: createLocalDaemon(host),
      now: host.clock(),
      randomNumber: host.randomNumber,
      seeds: host.settings.fleet.seeds,
    });
  }

  register(): Teardown {
    const {clock, messenger, metrics} = this.#host;
    const removeListener = messenger.registerListener(
      'membership',
      (message, source) => {
        const readable = readMembershipMessage(message);
        if (readable === undefined) {
          metrics.increment('membership.malformed');
          return;
        }
        if (readable.unreadableRecords > 0) {
          metrics.increment(
            'membership.unreadableRecords',
            readable.unreadableRecords,
          );
        }
        this.#applyEffects(
          this.#membership.receive(readable.message, source, clock()),
        );
      },
    );
    const removeTicker = this.#host.registerTicker(TICK_INTERVAL_MS, () => {
      this.#publishBackendServer();
      this.#applyEffects(this.#membership.tick(clock()));
    });
    this.#applyEffects(this.#membership.join(clock()));
    return mergeTeardowns(removeListener, removeTicker);
  }

  announce(
    announcement: Announcement,
  ): ReturnType<MembershipService['announce']> {
    const isLeaving = announcement.state === 'draining';
    return this.#change(announcement, isLeaving, (now) =>
      this.#leases.announce(announcement, this.getView(), now),
    );
  }

  withdraw(withdrawal: Withdrawal): ReturnType<MembershipService['withdraw']> {
    return this.#change(withdrawal, true, (now) =>
      this.#leases.withdraw(
        withdrawal,
        now,
        this.#membership.getEarlierBackendServer(),
      ),
    );
  }

  recordRefusal({failure, instance}: RefusedAnnouncement): void {
    const {detail, result} = failure;
    this.#host.metrics.increment(`membership.announcementRefused.${result}`);
    this.#refusalLog.write(
      'announcement.refused',
      {detail, instance, result},
      'announcement refused',
    );
  }

  drainBackendServer(incarnation: Incarnation): void {
    this.#leases.drain(incarnation);
    this.#publishBackendServer();
  }

  drain(): void {
    this.#applyEffects(this.#membership.drain(this.#host.clock()));
  }

  leave(): void {
    this.#applyEffects(this.#membership.leave(this.#host.clock()));
  }

  declareLeft(name: string): void {
    this.#applyEffects(this.#membership.declareLeft(name, this.#host.clock()));
  }

  setSeeds(seeds: readonly Address[]): void {
    this.#membership.setSeeds(seeds, this.#host.clock());
  }

  setLedgerGeneration(generation: number): void {
    this.#applyEffects(
      this.#membership.setLedgerGeneration(generation, this.#host.clock()),
    );
  }

  registerViewListener(listener: ViewListener): Teardown {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  getAddress(name: string): DaemonRecord['address'] | undefined {
    return this.getView().getDaemon(name)?.address;
  }

  getLocalBackendServer(): LocalBackendServer | undefined {
    const holder = this.#leases.getLeaseHolder(this.#host.clock());
    if (holder === undefined) {
      return undefined;
    }
    const {address, connections, instance, service, slots, state} =
      holder.announcement;
    const {incarnation, renewedAt} = holder;
    return {
      address,
      connections,
      incarnation,
      instance,
      renewedAt,
      service,
      slots,
      state,
    };
  }

  getView(): ReturnType<MembershipService['getView']> {
    return this.#membership.getView();
  }

  /** Applies a change of the lease, unless it cannot be true or published. */
  #change<Change>(
    subject: Pick<Announcement, 'instance' | 'sequence' | 'startedAt'>,
    isLeaving: boolean,
    apply: (now: Milliseconds) => Result<Change, Failure>,
  ): Result<Change, Failure> {
    const now = this.#host.clock();
    const failure = this.#findChangeFailure(subject, isLeaving, now);
    const result: Result<Change, Failure> =
      failure === undefined ? apply(now) : Result.err(failure);
    if (result.isErr) {
      this.recordRefusal({failure: result.error, instance: subject.instance});
    }
    this.#publishBackendServer();
    return result;
  }

  #findChangeFailure(
    subject: Pick<Announcement, 'sequence' | 'startedAt'>,
    isLeaving: boolean,
    now: Milliseconds,
  ): Failure | undefined {
    const {settings, wallClock} = this.#host;
    const fault = findAnnouncementFault(subject, {
      maximumSkewMilliseconds: settings.announcement.skewMilliseconds,
      wallTime: wallClock(),
    });
    if (fault !== undefined) {
      return createFailure('invalidAnnouncement', fault);
    }
    // What is acknowledged now could not be published, and is lost with this process.
    return isLeaving && this.#membership.isAwaitingState(now)
      ? createFailure('daemonStarting', 'the fleet has not answered yet')
      : undefined;
  }

  #publishBackendServer(): void {
    const now = this.#host.clock();
    this.#leases.expire(now);
    this.#applyEffects(
      this.#membership.setBackendServer(this.#leases.getRecord(), now),
    );
  }

  #applyEffects(effects: readonly MembershipEffect[]): void {
    const {messenger} = this.#host;
    for (const effect of effects) {
      match(effect)
        .with({kind: 'daemonChanged'}, ({record}) => {
          this.#recordChange(record);
        })
        .with({kind: 'earlierBackendServer'}, ({backendServer}) => {
          this.#leases.adopt(backendServer, this.#host.clock());
        })
        .with({kind: 'sendDatagram'}, ({address, message}) => {
          messenger.sendDatagram(address, 'membership', message);
        })
        .with({kind: 'sendMessage'}, ({address, message}) => {
          messenger.sendToAddress(address, 'membership', message);
        })
        .with({kind: 'viewChanged'}, ({view}) => {
          this.#leases.resolveConflict(view);
          for (const listener of this.#listeners) {
            listener(view);
          }
        })
        .exhaustive();
    }
  }

  #recordChange(record: DaemonRecord): void {
    const {backendServer} = record;
    this.#host.recordEvent('memberChanged', {
      address: formatAddress(record.address),
      backendServerState: backendServer?.state,
      daemon: record.name,
      incarnation: record.incarnation,
      instance: backendServer?.instance,
      isDraining: record.isDraining,
      service: backendServer?.service,
      state: record.state,
      version: record.version,
    });
  }
}

/**
 * Starts membership: joins the fleet through the seeds, probes, gossips and
 * accepts announcements of the local backend server.
 *
 * @example
 * const {service, teardown} = registerMembership(host);
 * service.getView().getInstances('orders');
 */
export function registerMembership(host: DaemonHost): MembershipRegistration {
  const runner = new MembershipRunner(host);
  return {service: runner, teardown: runner.register()};
}
