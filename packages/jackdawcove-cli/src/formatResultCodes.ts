/** Generates the page of the numbered results from their table. */

import type {ResultCode} from 'jackdawcove-shared';

import {RESULT_CODES} from 'jackdawcove-shared';

const RANGE_SIZE = 100;

/** Section titles by the hundreds digit of the result numbers. */
const RANGE_TITLES: Readonly<Record<number, string>> = {
  0: 'Done',
  1: 'Fault of the request (1xx)',
  2: 'Refused, not run (2xx)',
  3: 'Outcome unknown or cut (3xx)',
  4: 'Repeated key (4xx)',
  5: 'Configuration and administration (5xx)',
  6: 'Processes and the tool (6xx)',
  7: 'Sessions between daemons (7xx)',
};

const INTRODUCTION = `# Result codes

Generated from \`packages/jackdawcove-shared/src/ResultTable.ts\` by
\`node scripts/generateDocuments.mjs\`; a test checks it.

- **Executed** says whether the request was run. \`no\` is said only by the place
  that can prove it; a request that got \`no\` may be sent again at once or after
  \`Retry-After\`. \`unknown\` means that it may have run: a non-idempotent request is
  sent again only under its idempotency key.
- **HTTP** is the status of the answer to a caller or of the administration API; the
  number is in the header \`Jackdaw-Result\`, the execution in \`Jackdaw-Executed\`.
- **Exit** is the exit code of \`jackdaw\` and \`jackdawd\`.
`;

const TABLE_HEAD = [
  '| Number | Name | HTTP | Exit | Executed | Meaning |',
  '|---|---|---|---|---|---|',
];

function formatRow(code: ResultCode): string {
  const {description, executed, exitCode, httpStatus, name, number} = code;
  const cells = [number, name, httpStatus, exitCode, executed, description];
  return `| ${cells.join(' | ')} |`;
}

/**
 * Formats the page docs/RESULT-CODES.md.
 *
 * @example
 * formatResultCodes().startsWith('# Result codes'); // true
 */
export function formatResultCodes(): string {
  const codes = Object.values(RESULT_CODES).sort(
    (left, right) => left.number - right.number,
  );
  const ranges = [
    ...new Set(codes.map(({number}) => Math.floor(number / RANGE_SIZE))),
  ];
  const sections = ranges.map((range) => {
    const rows = codes
      .filter(({number}) => Math.floor(number / RANGE_SIZE) === range)
      .map(formatRow);
    const title = `## ${RANGE_TITLES[range] ?? `${String(range)}xx`}`;
    return [title, '', ...TABLE_HEAD, ...rows].join('\n');
  });
  return `${[INTRODUCTION, ...sections].join('\n\n').replaceAll('\n\n\n', '\n\n')}\n`;
}
