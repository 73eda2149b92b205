/** What an instance states about itself in its answers. */

/** Condition of an instance, read from the head of an answer. */
export type InstanceCondition = {
  /** True once the instance leaves the fleet and must get no new requests. */
  readonly isLeaving: boolean;
  /** Requests per second that it takes from all daemons together; undefined: no limit. */
  readonly requestsPerSecond: number | undefined;
};

/** Condition of an instance whose answer states nothing. */
export const NORMAL_CONDITION: InstanceCondition = {
  isLeaving: false,
  requestsPerSecond: undefined,
};
