/** How many connections callers may have open. */

import type {DaemonSettings} from 'jackdawcove-settings';

import {readDescriptorLimit} from './readDescriptorLimit.js';

/** Share of the file descriptors of a process that connections of callers may use. */
const CALLER_DESCRIPTOR_SHARE = 0.5;

/**
 * Returns the limit of the settings, or less where the process has few descriptors.
 *
 * @example
 * getMaximumConnections(settings.limits); // 2048
 */
export function getMaximumConnections(
  {callerConnections}: Pick<DaemonSettings['limits'], 'callerConnections'>,
  descriptors = readDescriptorLimit(),
): number {
  return Math.min(
    callerConnections,
    Math.floor(descriptors * CALLER_DESCRIPTOR_SHARE),
  );
}
