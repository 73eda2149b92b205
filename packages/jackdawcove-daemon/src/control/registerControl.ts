/** Wires the replicated configuration to the daemon. */

import type {DaemonHost} from '../DaemonHost.js';
import type {
  ConfigurationService,
  ControlDependencies,
} from './ConfigurationService.js';
import type {Teardown} from 'jackdawcove-shared';

/** Running control subsystem. */
export type Control = {
  readonly service: ConfigurationService;
  readonly teardown: Teardown;
};

/**
 * Starts the control subsystem of one daemon; rejects when storage is unusable.
 *
 * @example
 * const {service, teardown} = await registerControl(host, {checkDocument, getMembers});
 */
export function registerControl(
  host: DaemonHost,
  dependencies: ControlDependencies,
): Promise<Control> {
  host.log.info({members: dependencies.getMembers().length}, 'control starts');
  return Promise.reject(new Error('The control subsystem is being written.'));
}
