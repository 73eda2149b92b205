/** Self-contained HTML page of one or more runs. */

import type {ScenarioResult} from '../scenario/runScenario.js';
import type {Bucket} from './Summary.js';
import type {EChartsOption} from 'echarts';

import {init} from 'echarts';

import {createBuckets} from './Summary.js';

const CHART_WIDTH = 900;
const CHART_HEIGHT = 320;

/** One run under the name it has in the report. */
export type NamedResult = {
  readonly name: string;
  readonly result: ScenarioResult;
};

type Measure = {
  readonly getValue: (bucket: Bucket) => number;
  readonly title: string;
};

const MEASURES: readonly Measure[] = [
  {getValue: ({completed}) => completed, title: 'Completed per 100 ms'},
  {getValue: ({shed}) => shed, title: 'Shed per 100 ms'},
  {getValue: ({p99Milliseconds}) => p99Milliseconds, title: 'p99 latency, ms'},
];

function renderChart(
  measure: Measure,
  results: readonly NamedResult[],
): string {
  const chart = init(null, null, {
    height: CHART_HEIGHT,
    renderer: 'svg',
    ssr: true,
    width: CHART_WIDTH,
  });
  chart.setOption(createOption(measure, results));
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function createOption(
  {getValue, title}: Measure,
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
 * Creates the page.
 *
 * @example
 * writeFileSync('report.html', createReport([{name: 'ours', result}]));
 */
export function createReport(results: readonly NamedResult[]): string {
  const charts = MEASURES.map((measure) => renderChart(measure, results));
  const heading = results.map(({name}) => name).join(', ');
  return [
    '<!doctype html><html lang="en"><meta charset="utf-8">',
    `<title>jackdawcove: ${heading}</title>`,
    `<h1>${heading}</h1>`,
    ...charts,
    '</html>',
  ].join('\n');
}
