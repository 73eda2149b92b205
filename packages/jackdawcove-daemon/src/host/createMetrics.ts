/** Metrics of the daemon, sent to StatsD if an address is set. */

import type {Metrics} from '../DaemonHost.js';
import type {Address} from 'jackdawcove-shared';

import {StatsD} from 'hot-shots';

/** StatsD address, name prefix and tags of the metrics. */
export type MetricsSettings = {
  readonly prefix: string;
  readonly statsd: Address | undefined;
  readonly tags: Readonly<Record<string, string>>;
};

/** Metrics, and a function that closes their socket or server. */
export type MetricsSink = {
  readonly close: () => void;
  readonly metrics: Metrics;
};

const NO_OP_METRICS: Metrics = {
  countEnd: () => undefined,
  gauge: () => undefined,
  increment: () => undefined,
  timing: () => undefined,
};

const MAXIMUM_BUFFER_BYTES = 1_400;

/**
 * Creates the metrics of a daemon; without an address they do nothing.
 *
 * @example
 * const {metrics} = createMetrics({prefix: 'jackdawcove.', statsd: undefined, tags: {}});
 * metrics.increment('calls.shed');
 */
export function createMetrics(settings: MetricsSettings): MetricsSink {
  if (settings.statsd === undefined) {
    return {close: () => undefined, metrics: NO_OP_METRICS};
  }
  const client = new StatsD({
    errorHandler: () => undefined,
    globalTags: {...settings.tags},
    host: settings.statsd.host,
    maxBufferSize: MAXIMUM_BUFFER_BYTES,
    port: settings.statsd.port,
    prefix: settings.prefix,
  });
  return {
    close: () => {
      client.close(() => undefined);
    },
    metrics: {
      countEnd: (end) => {
        client.increment('relay.ended', 1, {...end});
      },
      gauge: (name, value) => {
        client.gauge(name, value);
      },
      increment: (name, count = 1) => {
        client.increment(name, count);
      },
      timing: (name, milliseconds) => {
        client.timing(name, milliseconds);
      },
    },
  };
}
