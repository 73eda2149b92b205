/** Process-wide resources of the daemon: listeners, sessions, log and timers. */

import type {BoundAddresses, DaemonHost, RecordEvent} from '../DaemonHost.js';
import type {CallServers} from '../dataPlane/registerDataPlane.js';
import type {ResolveAddress} from '../transport/createMessenger.js';
import type {LogSink} from './createLog.js';
import type {MetricsSink} from './createMetrics.js';
import type {ScrapedMetrics} from './createScrapedMetrics.js';
import type {DaemonSettings} from 'jackdawcove-settings';
import type {Address, MonotonicClock} from 'jackdawcove-shared';
import type {Server} from 'node:http';

import {SessionPool} from 'jackdawcove-session';
import {invariant} from 'jackdawcove-shared';
import {Timeline} from 'jackdawcove-timeline';

import {createAdministrationServer} from '../administration/registerAdministration.js';
import {createCallServer} from '../dataPlane/CallServer.js';
import {createMessenger} from '../transport/createMessenger.js';
import {createSessionReporter} from '../transport/createSessionReporter.js';
import {createLog} from './createLog.js';
import {createMetrics} from './createMetrics.js';
import {combineMetrics, createScrapedMetrics} from './createScrapedMetrics.js';
import {listen} from './listen.js';
import {TickerRegistry} from './TickerRegistry.js';

/** Interval at which the number of dropped log lines is reported. */
const DROPPED_LINES_CHECK_MILLISECONDS = 5_000;

/** Owns the resources that the subsystems share. */
export class HostProcess {
  /** Monotonic time in milliseconds. */
  readonly clock: MonotonicClock = () => performance.now();
  readonly #administrationServer: Server;
  readonly #advertisedAddress: Address | undefined;
  readonly #callServers: CallServers;
  readonly #incarnation = Date.now();
  readonly #logSink: LogSink;
  readonly #metricsSink: MetricsSink;
  readonly #scrapedMetrics: ScrapedMetrics | undefined;
  readonly #sessions: SessionPool;
  readonly #settings: DaemonSettings;
  readonly #recordEvent: RecordEvent = (kind, fields = {}) => {
    this.#timeline.record(kind, fields, Date.now());
  };
  readonly #tickers = new TickerRegistry(this.clock);
  readonly #timeline: Timeline;
  #host: DaemonHost | undefined;
  #reportedDroppedLines = 0;
  #resolveAddress: ResolveAddress = () => undefined;

  constructor(
    settings: DaemonSettings,
    advertisedAddress: Address | undefined,
  ) {
    const {availabilityZone, name} = settings.daemon;
    this.#settings = settings;
    this.#advertisedAddress = advertisedAddress;
    this.#administrationServer = createAdministrationServer();
    this.#callServers = {
      caller: createCallServer(settings.limits),
      local: createCallServer(settings.limits),
    };
    this.#logSink = createLog({
      daemon: name,
      file: settings.log.file,
      level: settings.log.level,
    });
    this.#timeline = new Timeline({
      availabilityZone,
      capacity: settings.timeline.capacity,
      vm: name,
    });
    const {listen: metricsAddress, prefix, statsd} = settings.metrics;
    const tags = {availabilityZone, vm: name};
    const statsdMetrics = createMetrics({prefix, statsd, tags});
    this.#scrapedMetrics = metricsAddress && createScrapedMetrics();
    const sinks = [statsd && statsdMetrics, this.#scrapedMetrics].filter(
      (sink) => sink !== undefined,
    );
    this.#metricsSink =
      sinks.length > 1 ? combineMetrics(sinks) : (sinks[0] ?? statsdMetrics);
    this.#sessions = this.#createSessions();
  }

  /** Binds every port and returns the host for the subsystems. */
  async start(): Promise<DaemonHost> {
    const {listen: addresses} = this.#settings;
    const administration = await listen(
      this.#administrationServer,
      addresses.administration,
    );
    const caller = await listen(this.#callServers.caller, addresses.caller);
    const local = await listen(this.#callServers.local, addresses.local);
    if (this.#scrapedMetrics !== undefined && this.#settings.metrics.listen) {
      await listen(this.#scrapedMetrics.server, this.#settings.metrics.listen);
    }
    this.#tickers.register(DROPPED_LINES_CHECK_MILLISECONDS, () => {
      this.#reportDroppedLines();
    });
    const boundAddress = await this.#sessions.start();
    const fleet = this.#advertisedAddress ?? boundAddress;
    this.#host = this.#createHost({administration, caller, fleet, local});
    return this.#host;
  }

  /** Accepts no further connections from callers; busy ones may finish. */
  closeListeners(): void {
    const {caller} = this.#callServers;
    caller.close();
    caller.closeIdleConnections();
  }

  /** Stops the timers and closes metrics, servers, sessions and log. */
  async stop(): Promise<void> {
    this.#tickers.clear();
    this.#metricsSink.close();
    const {caller, local} = this.#callServers;
    for (const server of [caller, local, this.#administrationServer]) {
      server.close();
      server.closeAllConnections();
    }
    await this.#sessions.stop();
    await this.#logSink.close();
  }

  /** The host; available after `start`. */
  getHost(): DaemonHost {
    invariant(this.#host !== undefined, 12, 'getHost was called before start.');
    return this.#host;
  }

  getAdministrationServer(): Server {
    return this.#administrationServer;
  }

  getCallServers(): CallServers {
    return this.#callServers;
  }

  getSessions(): SessionPool {
    return this.#sessions;
  }

  getTimeline(): Timeline {
    return this.#timeline;
  }

  /** Sets the function that looks up the fleet addresses of daemons. */
  setAddressResolver(resolveAddress: ResolveAddress): void {
    this.#resolveAddress = resolveAddress;
  }

  #createSessions(): SessionPool {
    const {daemon, fleet, listen: addresses} = this.#settings;
    return new SessionPool({
      advertisedAddress: this.#advertisedAddress,
      clock: this.clock,
      fleetKeys: {current: fleet.key, previous: fleet.previousKey},
      listen: addresses.fleet,
      onEvent: createSessionReporter({
        log: this.#logSink.log,
        metrics: this.#metricsSink.metrics,
        recordEvent: this.#recordEvent,
      }),
      randomNumber: Math.random,
      registerTicker: (intervalMilliseconds, onTick) =>
        this.#tickers.register(intervalMilliseconds, onTick),
      resolveAddress: (name) => this.#resolveAddress(name),
      self: {incarnation: this.#incarnation, name: daemon.name},
    });
  }

  /**
   * Sets the gauge and warns when the count has grown. While nothing reads the
   * log output, only the gauge shows the count; the warning follows later.
   */
  #reportDroppedLines(): void {
    const droppedLines = this.#logSink.getDroppedLines();
    this.#metricsSink.metrics.gauge('log.linesLeftOut', droppedLines);
    if (droppedLines > this.#reportedDroppedLines) {
      this.#reportedDroppedLines = droppedLines;
      this.#logSink.log.warn({total: droppedLines}, 'log lines left out');
    }
  }

  #createHost(addresses: BoundAddresses): DaemonHost {
    return {
      addresses,
      clock: this.clock,
      incarnation: this.#incarnation,
      log: this.#logSink.log,
      messenger: createMessenger(this.#sessions, (name) =>
        this.#resolveAddress(name),
      ),
      metrics: this.#metricsSink.metrics,
      randomNumber: Math.random,
      recordEvent: this.#recordEvent,
      registerTicker: (intervalMilliseconds, onTick) =>
        this.#tickers.register(intervalMilliseconds, onTick),
      settings: this.#settings,
      wallClock: Date.now,
    };
  }
}
