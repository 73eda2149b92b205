/** Formatting and parsing that several actions share. */

import type {Failure} from 'jackdawcove-shared';

import {createFailure, MILLISECONDS_PER_SECOND} from 'jackdawcove-shared';
import {Result} from 'true-myth';

const COLUMN_SEPARATOR = '  ';
const SECONDS_BY_UNIT: Readonly<Record<string, number>> = {
  d: 86_400,
  h: 3_600,
  m: 60,
  s: 1,
};
const DURATION_PATTERN = /^(\d{1,9})([dhms])$/;

/**
 * Formats rows as aligned columns; the first row is the header.
 *
 * @example
 * formatTable([['vm', 'state'], ['erie-1', 'alive']]);
 */
export function formatTable(rows: readonly (readonly string[])[]): string[] {
  const columnCount = Math.max(0, ...rows.map(({length}) => length));
  const widths = Array.from({length: columnCount}, (_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_SEPARATOR)
      .trimEnd(),
  );
}

/**
 * Formats a wall-clock time in milliseconds as ISO 8601, or as `-` if it is out
 * of range.
 *
 * @example
 * formatTime(0); // '1970-01-01T00:00:00.000Z'
 */
export function formatTime(milliseconds: number): string {
  const time = new Date(milliseconds);
  return Number.isNaN(time.getTime()) ? '-' : time.toISOString();
}

/**
 * Parses a point in time, given as ISO 8601 or as a duration before now such as
 * 90s, 5m, 2h or 1d. Returns wall-clock milliseconds; fails with `usage`.
 *
 * @example
 * parseSince('5m', Date.now());
 */
export function parseSince(
  text: string,
  wallNow: number,
): Result<number, Failure> {
  const [, count, unit] = DURATION_PATTERN.exec(text) ?? [];
  const seconds = SECONDS_BY_UNIT[unit ?? ''];
  if (seconds !== undefined) {
    const durationMilliseconds =
      Number(count) * seconds * MILLISECONDS_PER_SECOND;
    return Result.ok(Math.max(0, wallNow - durationMilliseconds));
  }
  const time = Date.parse(text);
  return Number.isNaN(time)
    ? Result.err(
        createFailure('usage', '--since expects 90s, 5m, 2h, 1d or ISO 8601'),
      )
    : Result.ok(Math.max(0, time));
}
