/** Record of what was sent, answered and run. */

import {appendFileSync, writeFileSync} from 'node:fs';

/** Creates a function that appends an event, with its time, to a file and a list. */
export function createRecord(path) {
  const events = [];
  const startedAt = performance.now();
  writeFileSync(path, '');
  const record = (kind, fields) => {
    const at = Math.round(performance.now() - startedAt);
    events.push({at, kind, ...fields});
    appendFileSync(path, `${at} ${kind} ${JSON.stringify(fields)}\n`);
  };
  return {events, record};
}
