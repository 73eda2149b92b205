/**
 * Numbered result codes that callers, backend servers and operators see.
 *
 * A test checks docs/RESULT-CODES.md against this table.
 */

import type {Executed, ResultRow} from './ResultTable.js';

import {RESULT_TABLE} from './ResultTable.js';

/** One row of the result table. */
export type ResultCode = {
  readonly description: string;
  readonly executed: Executed;
  readonly exitCode: number;
  readonly httpStatus: number;
  readonly name: string;
  readonly number: number;
};

/** Name of a result code. */
export type ResultName = keyof typeof RESULT_TABLE;

function createResultCode(name: string, row: ResultRow): ResultCode {
  const [number, httpStatus, exitCode, executed, description] = row;
  return Object.freeze({
    description,
    executed,
    exitCode,
    httpStatus,
    name,
    number,
  });
}

/** Result codes by name, for example `RESULT_CODES.shedByAdmission.number`. */
export const RESULT_CODES = Object.freeze(
  Object.fromEntries(
    Object.entries(RESULT_TABLE).map(([name, row]) => [
      name,
      createResultCode(name, row),
    ]),
  ),
) as Readonly<Record<ResultName, ResultCode>>;

const RESULT_CODES_BY_NUMBER: ReadonlyMap<number, ResultCode> = new Map(
  Object.values(RESULT_CODES).map((code) => [code.number, code]),
);

/**
 * Returns the result code with the given number, or undefined.
 *
 * @example
 * getResultCode(200)?.name; // 'shedByAdmission'
 */
export function getResultCode(number: number): ResultCode | undefined {
  return RESULT_CODES_BY_NUMBER.get(number);
}
