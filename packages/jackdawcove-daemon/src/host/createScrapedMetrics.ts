/** Metrics that are scraped over HTTP in the Prometheus text format. */

import type {MetricsSink} from './createMetrics.js';
import type {Server} from 'node:http';

import {createServer} from 'node:http';

import {Counter, Gauge, Registry} from 'prom-client';

import {LatencyHistogram} from './LatencyHistogram.js';
import {PendingRequestEnds} from './PendingRequestEnds.js';

/** Metrics with the server that serves them. */
export type ScrapedMetrics = MetricsSink & {
  /** Answers every GET with the current values; the caller binds it. */
  readonly server: Server;
};

const HELP = 'See docs/METRICS.md.';

/** Metric names are fixed in the code, so the daemon does not reach this limit. */
const MAXIMUM_METRICS = 256;

const METHOD_NOT_ALLOWED = 405;
const INTERNAL_ERROR = 500;

type MetricName = {readonly base: string; readonly kind: string};

/** `relay.result.noInstance` is the metric `relay_result` of the kind `noInstance`. */
function parseName(name: string): MetricName {
  const [group = '', metric = '', kind = ''] = name.split('.');
  return {base: `jackdawcove_${group}_${metric}`, kind};
}

class MetricTable<Metric> {
  readonly #create: (name: string) => Metric;
  readonly #metrics = new Map<string, Metric>();

  constructor(create: (name: string) => Metric) {
    this.#create = create;
  }

  [Symbol.iterator](): IterableIterator<Metric> {
    return this.#metrics.values();
  }

  get(name: string): Metric | undefined {
    const known = this.#metrics.get(name);
    if (known !== undefined || this.#metrics.size >= MAXIMUM_METRICS) {
      return known;
    }
    const metric = this.#create(name);
    this.#metrics.set(name, metric);
    return metric;
  }
}

/** Counts in memory; `flush` adds the counts to the counters of the library. */
class PendingCounts {
  readonly #counters: MetricTable<Counter<'kind'>>;
  readonly #counts = new Map<string, number>();

  constructor(counters: MetricTable<Counter<'kind'>>) {
    this.#counters = counters;
  }

  add(name: string, count: number): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + count);
  }

  flush(): void {
    for (const [name, count] of this.#counts) {
      const {base, kind} = parseName(name);
      this.#counters.get(base)?.inc({kind}, count);
    }
    this.#counts.clear();
  }
}

function createMetricsServer(
  registry: Registry,
  histograms: Iterable<LatencyHistogram>,
  flush: () => void,
): Server {
  return createServer((incoming, outgoing) => {
    if (incoming.method !== 'GET') {
      outgoing.writeHead(METHOD_NOT_ALLOWED).end();
      return;
    }
    flush();
    registry.metrics().then(
      (text) => {
        outgoing.writeHead(200, {'content-type': registry.contentType});
        outgoing.end(text + formatHistograms(histograms));
      },
      (error: unknown) => {
        outgoing.writeHead(INTERNAL_ERROR).end(String(error));
      },
    );
  });
}

function formatHistograms(histograms: Iterable<LatencyHistogram>): string {
  let text = '';
  for (const histogram of histograms) {
    text += histogram.format(HELP);
  }
  return text;
}

/**
 * Creates metrics that are kept in memory until they are scraped.
 *
 * @example
 * const {metrics, server} = createScrapedMetrics();
 * server.listen(7634);
 */
export function createScrapedMetrics(): ScrapedMetrics {
  const registry = new Registry();
  const registers = [registry];
  const help = HELP;
  const labelNames = ['kind'] as const;
  const counters = new MetricTable(
    (name) => new Counter({help, labelNames, name: `${name}_total`, registers}),
  );
  const gauges = new MetricTable(
    (name) => new Gauge({help, labelNames, name, registers}),
  );
  const histograms = new MetricTable(
    (name) => new LatencyHistogram(`${parseName(name).base}_milliseconds`),
  );
  const pendingCounts = new PendingCounts(counters);
  const pendingEnds = new PendingRequestEnds(
    () =>
      new Counter({
        help,
        labelNames: ['result', 'route', 'service'],
        name: 'jackdawcove_relay_ended_total',
        registers,
      }),
  );
  const server = createMetricsServer(registry, histograms, () => {
    pendingCounts.flush();
    pendingEnds.flush();
  });
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
    metrics: {
      countEnd: (end) => {
        pendingEnds.add(end);
      },
      gauge: (name, value) => {
        const {base, kind} = parseName(name);
        gauges.get(base)?.set({kind}, value);
      },
      increment: (name, count = 1) => {
        pendingCounts.add(name, count);
      },
      timing: (name, milliseconds) => {
        histograms.get(name)?.add(milliseconds);
      },
    },
    server,
  };
}

/**
 * Creates a sink that forwards to several sinks.
 *
 * @example
 * combineMetrics([statsd, scraped]).metrics.increment('calls.shed');
 */
export function combineMetrics(sinks: readonly MetricsSink[]): MetricsSink {
  return {
    close: () => {
      for (const {close} of sinks) {
        close();
      }
    },
    metrics: {
      countEnd: (end) => {
        for (const {metrics} of sinks) {
          metrics.countEnd(end);
        }
      },
      gauge: (name, value) => {
        for (const {metrics} of sinks) {
          metrics.gauge(name, value);
        }
      },
      increment: (name, count) => {
        for (const {metrics} of sinks) {
          metrics.increment(name, count);
        }
      },
      timing: (name, milliseconds) => {
        for (const {metrics} of sinks) {
          metrics.timing(name, milliseconds);
        }
      },
    },
  };
}
