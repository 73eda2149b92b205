/** Rules of the pages, as written, on what clients and instances saw. */

import {createSeal} from './Instance.mjs';

/** MIXED: a success without the seal and the whole body of its own request. */
export function findMixed(events) {
  const runs = new Map();
  for (const {id, instance, kind} of events) {
    if (kind === 'run') {
      runs.set(id, [...(runs.get(id) ?? []), instance]);
    }
  }
  return events.filter(({body, id, kind, seal, status}) => {
    if (kind !== 'answer' || status < 200 || status > 299) {
      return false;
    }
    const instances = runs.get(id) ?? [];
    return !instances.some(
      (instance) =>
        seal === createSeal(instance, id) &&
        body === `answer of ${instance} to ${id}`,
    );
  });
}

/** TWICE: a request that isn't idempotent runs more than once. */
export function findTwice(events) {
  const counts = new Map();
  for (const {id, kind, method} of events) {
    if (kind === 'run' && method === 'POST') {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([id, count]) => ({count, id}));
}

/** REFUSED: a request that isn't idempotent is answered 429 or 503 and has run or runs later. */
export function findRefused(events) {
  const ran = new Set(
    events
      .filter(({kind, method}) => kind === 'run' && method === 'POST')
      .map(({id}) => id),
  );
  return events.filter(
    ({id, kind, status}) =>
      kind === 'answer' && [408, 421, 429, 503].includes(status) && ran.has(id),
  );
}

/** LOST: a request from a kept connection was passed on, and the connection closed without an answer. */
export function findCutOff(events) {
  const ran = new Set(
    events.filter(({kind}) => kind === 'run').map(({id}) => id),
  );
  return events.filter(
    ({id, isKept, kind, status}) =>
      kind === 'answer' && status === 0 && isKept && ran.has(id),
  );
}
