/** Instances of a service as candidates for routing. */

import type {ListInstances} from 'jackdawcove-call';
import type {InstanceView, MembershipView} from 'jackdawcove-membership';
import type {InstanceCandidate} from 'jackdawcove-routing';

import {createInstanceLookup} from '../membership/createInstanceLookup.js';

function createCandidate({
  backendServer,
  daemon,
}: InstanceView): InstanceCandidate {
  return {
    availabilityZone: daemon.availabilityZone,
    daemon: daemon.name,
    daemonIncarnation: daemon.incarnation,
    instance: backendServer.instance,
    instanceIncarnation: backendServer.incarnation,
    isDraining: daemon.isDraining || backendServer.state === 'draining',
    isReachable: daemon.state === 'alive',
    region: daemon.region,
    slots: backendServer.slots,
  };
}

/**
 * Creates a look-up of candidates, which are computed once per view and
 * service.
 *
 * @example
 * const listInstances = createInstanceLister(() => membership.getView());
 * listInstances('orders');
 */
export function createInstanceLister(
  getView: () => MembershipView,
): ListInstances {
  const lookUp = createInstanceLookup(getView, (instances) =>
    instances.map(createCandidate),
  );
  return (service) => {
    const list = lookUp(service);
    return list.length > 0 ? list : undefined;
  };
}
