/** Tree along which a new record is pushed to all daemons. */

import type {DaemonName} from 'jackdawcove-shared';

import {PUSH_FAN_OUT} from './RevisionConstants.js';

/**
 * Returns the daemons that one daemon pushes to, in a tree over the sorted names
 * with the first pusher at its root. Daemons with other views push to other
 * children; what is left out that way is found by rumors and anti-entropy.
 *
 * @example
 * getPushChildren(['a', 'b', 'c'], 'a', 'a'); // ['b', 'c']
 */
export function getPushChildren(
  daemons: readonly DaemonName[],
  root: DaemonName,
  own: DaemonName,
): readonly DaemonName[] {
  const sorted = [...new Set([...daemons, root, own])].sort();
  const rootPosition = sorted.indexOf(root);
  const ownPosition = sorted.indexOf(own);
  const count = sorted.length;
  const rank = (ownPosition - rootPosition + count) % count;
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
