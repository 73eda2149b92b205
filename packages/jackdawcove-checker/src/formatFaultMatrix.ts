/** Generates the page of the fault matrix from its cases. */

import type {FaultCase, FaultEvidence, FaultStep} from './FaultMatrix.js';

import {match} from 'ts-pattern';

import {CALL_STEPS, CHANGE_STEPS, FAULT_ROWS, PROMISES} from './FaultMatrix.js';

const NOT_PROVED = 'not proved';
const PROOF_SEPARATOR = '; ';

const INTRODUCTION = `# Fault matrix

Generated from \`packages/jackdawcove-checker/src/FaultMatrixCases.ts\` by
\`node scripts/generateFaultMatrix.mjs\`; a test checks the page and that every test
that a cell names exists.

- **proved**: the tests listed below inject the fault at the step.
- **partly**: they do so within the limit listed below.
- **n/a**: the fault cannot affect the step; the reason is listed below.
- **not proved**: no test injects the fault at the step.
`;

function formatStep(step: string): string {
  return step.replaceAll(/[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`);
}

function formatEvidence(evidence: FaultEvidence | undefined): string {
  return match(evidence)
    .with({kind: 'proved'}, ({limit}) =>
      limit === undefined ? 'proved' : 'partly',
    )
    .with({kind: 'notApplicable'}, () => 'n/a')
    .with({kind: 'notProved'}, undefined, () => NOT_PROVED)
    .exhaustive();
}

function formatDetail(evidence: FaultEvidence): string {
  return match(evidence)
    .with({kind: 'proved'}, ({limit, proofs}) => {
      const tests = proofs.map(({file, test}) => `\`${file}\`: ${test}`);
      const list = tests.join(PROOF_SEPARATOR);
      return limit === undefined ? list : `${list} (${limit})`;
    })
    .with({kind: 'notApplicable'}, {kind: 'notProved'}, ({reason}) => reason)
    .exhaustive();
}

function formatTable(
  title: string,
  steps: readonly FaultStep[],
  cases: readonly FaultCase[],
): string {
  const rows = FAULT_ROWS.map(([row, description]) => {
    const cells = steps.map((step) => {
      const matchingCase = cases.find(
        (faultCase) => faultCase.row === row && faultCase.column === step,
      );
      return formatEvidence(matchingCase?.evidence);
    });
    return `| ${[description, ...cells].join(' | ')} |`;
  });
  const head = `| Fault | ${steps.map(formatStep).join(' | ')} |`;
  const delimiter = `|${'---|'.repeat(steps.length + 1)}`;
  return [`## ${title}`, '', head, delimiter, ...rows, ''].join('\n');
}

function formatDetails(cases: readonly FaultCase[]): string {
  const rows = cases.map(({column, evidence, promise, row}) => {
    const description = FAULT_ROWS.find(([name]) => name === row)?.[1] ?? row;
    const cells = [
      description,
      formatStep(column),
      PROMISES[promise],
      formatDetail(evidence),
    ];
    return `| ${cells.join(' | ')} |`;
  });
  const head = '| Fault | Step | Promise | Tests or reason |';
  return ['## Cells', '', head, '|---|---|---|---|', ...rows, ''].join('\n');
}

function formatCounts(cases: readonly FaultCase[]): string {
  const countCells = (text: string): string =>
    String(
      cases.filter(({evidence}) => formatEvidence(evidence) === text).length,
    );
  const steps = CALL_STEPS.length + CHANGE_STEPS.length;
  const cellsWithoutCase = FAULT_ROWS.length * steps - cases.length;
  const unproved = cellsWithoutCase + Number(countCells(NOT_PROVED));
  return `${countCells('proved')} cells are proved, ${countCells('partly')} partly, ${countCells('n/a')} do not apply, ${String(unproved)} are not proved.\n`;
}

/**
 * Formats the page docs/FAULT-MATRIX.md.
 *
 * @example
 * formatFaultMatrix(FAULT_CASES).startsWith('# Fault matrix'); // true
 */
export function formatFaultMatrix(cases: readonly FaultCase[]): string {
  return [
    INTRODUCTION,
    formatCounts(cases),
    formatTable('Steps of a call', CALL_STEPS, cases),
    formatTable('Steps of a configuration change', CHANGE_STEPS, cases),
    formatDetails(cases),
  ].join('\n');
}
