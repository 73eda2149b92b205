/** Instances of a service as the choice of an instance sees them. */

import type {ListInstances} from 'jackdawcove-call';
import type {InstanceView, MembershipView} from 'jackdawcove-membership';
import type {InstanceCandidate} from 'jackdawcove-routing';

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
 * Creates a look-up of instances that is computed once per view and service.
 *
 * @example
 * const listInstances = createInstanceLister(() => membership.getView());
 * listInstances('orders');
 */
export function createInstanceLister(
  getView: () => MembershipView,
): ListInstances {
  let viewNumber = -1;
  let lists = new Map<string, readonly InstanceCandidate[]>();
  return (service) => {
    const view = getView();
    if (view.getNumber() !== viewNumber) {
      viewNumber = view.getNumber();
      lists = new Map();
    }
    let list = lists.get(service);
    if (list === undefined) {
      list = view.getInstances(service).map(createCandidate);
      lists.set(service, list);
    }
    return list.length > 0 ? list : undefined;
  };
}
