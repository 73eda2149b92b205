/** Instance lists that are cached for each membership view. */

import type {InstanceView, MembershipView} from 'jackdawcove-membership';
import type {ServiceName} from 'jackdawcove-shared';

/**
 * Creates a look-up that computes its list once per view and service.
 *
 * @example
 * const listNames = createInstanceLookup(
 *   () => membership.getView(),
 *   (instances) => instances.map(({backendServer}) => backendServer.instance),
 * );
 * listNames('orders');
 */
export function createInstanceLookup<Candidate>(
  getView: () => MembershipView,
  createList: (instances: readonly InstanceView[]) => readonly Candidate[],
): (service: ServiceName) => readonly Candidate[] {
  let viewNumber = -1;
  let lists = new Map<ServiceName, readonly Candidate[]>();
  return (service) => {
    const view = getView();
    if (view.getViewNumber() !== viewNumber) {
      viewNumber = view.getViewNumber();
      lists = new Map();
    }
    let list = lists.get(service);
    if (list === undefined) {
      list = createList(view.getInstances(service));
      lists.set(service, list);
    }
    return list;
  };
}
