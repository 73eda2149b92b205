/** Push tree that distributes a new record to all daemons. */

import type {DaemonName} from 'jackdawcove-shared';

import {PUSH_FAN_OUT} from './RevisionConstants.js';

/**
 * Returns the daemons to which one daemon pushes a record, in a tree over the
 * sorted names with the publishing daemon at its root. Daemons whose membership
 * views differ compute different trees; rumors and anti-entropy reach the daemons
 * that these trees miss.
 *
 * @example
 * getPushChildren(['a', 'b', 'c'], 'a', 'a'); // ['b', 'c']
 */
export function getPushChildren(
  daemons: readonly DaemonName[],
  root: DaemonName,
  localDaemon: DaemonName,
): readonly DaemonName[] {
  const sorted = [...new Set([...daemons, root, localDaemon])].sort();
  const rootPosition = sorted.indexOf(root);
  const localPosition = sorted.indexOf(localDaemon);
  const count = sorted.length;
  const rank = (localPosition - rootPosition + count) % count;
  const first = rank * PUSH_FAN_OUT + 1;
  const last = Math.min(first + PUSH_FAN_OUT, count);
  const children: DaemonName[] = [];
  for (let child = first; child < last; child += 1) {
    const name = sorted[(rootPosition + child) % count];
    if (name !== undefined) {
      children.push(name);
    }
  }
  return children;
}
