/** Self-contained HTML page with charts of one or more runs. */

import type {ScenarioResult} from '../scenario/runScenario.js';
import type {Bucket} from './Summary.js';
import type {EChartsOption} from 'echarts';

import {init} from 'echarts';

import {createBuckets} from './Summary.js';

const CHART_WIDTH = 900;
const CHART_HEIGHT = 320;

/** Result of one run and its name in the report. */
export type NamedResult = {
  readonly name: string;
  readonly result: ScenarioResult;
};

type Metric = {
  readonly getValue: (bucket: Bucket) => number;
  readonly title: string;
};

const METRICS: readonly Metric[] = [
  {getValue: ({completed}) => completed, title: 'Completed per 100 ms'},
  {getValue: ({shed}) => shed, title: 'Shed per 100 ms'},
  {getValue: ({p99Milliseconds}) => p99Milliseconds, title: 'p99 latency, ms'},
];

function renderChart(metric: Metric, results: readonly NamedResult[]): string {
  const chart = init(null, null, {
    height: CHART_HEIGHT,
    renderer: 'svg',
    ssr: true,
    width: CHART_WIDTH,
  });
  chart.setOption(createOption(metric, results));
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function createOption(
  {getValue, title}: Metric,
  results: readonly NamedResult[],
): EChartsOption {
  return {
    animation: false,
    legend: {top: 24},
    series: results.map(({name, result}) => ({
      data: createBuckets(
        result.outcomes,
        result.scenario.scenario.durationMilliseconds,
      ).map((bucket) => [bucket.atMilliseconds, getValue(bucket)]),
      markLine: {
        data: result.faults.map(({atMilliseconds, kind}) => ({
          name: kind,
          xAxis: atMilliseconds,
        })),
        label: {formatter: '{b}'},
      },
      name,
      showSymbol: false,
      type: 'line',
    })),
    title: {text: title},
    xAxis: {name: 'ms', type: 'value'},
    yAxis: {type: 'value'},
  };
}

/**
 * Creates the HTML page.
 *
 * @example
 * writeFileSync('report.html', createReport([{name: 'none', result}]));
 */
export function createReport(results: readonly NamedResult[]): string {
  const charts = METRICS.map((metric) => renderChart(metric, results));
  const heading = results.map(({name}) => name).join(', ');
  return [
    '<!doctype html><html lang="en"><meta charset="utf-8">',
    `<title>jackdawcove: ${heading}</title>`,
    `<h1>${heading}</h1>`,
    ...charts,
    '</html>',
  ].join('\n');
}
