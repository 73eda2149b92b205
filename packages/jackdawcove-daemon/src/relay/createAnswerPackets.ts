/** Splits the answers of an instance into packets. */

import type {RunningRequest} from './RunningRequests.js';
import type {
  AnswerPacket,
  InstanceCondition,
  InstanceLoad,
  OfferPacket,
  ServiceCost,
} from 'jackdawcove-relay';
import type {Milliseconds} from 'jackdawcove-shared';

import {ANSWER_PART_BYTES} from './RelayConstants.js';

/** Parts of an answer. */
export type AnswerParts = {
  readonly body: Buffer;
  /** Condition that the answer states. */
  readonly condition: InstanceCondition;
  /** What the run and its calls used; undefined if the request reports no costs. */
  readonly costs: readonly ServiceCost[] | undefined;
  readonly headerLines: string;
  readonly load: InstanceLoad;
  readonly offer: OfferPacket;
  readonly run: RunningRequest | undefined;
  readonly runMilliseconds: Milliseconds;
  readonly status: number;
};

/**
 * Reports the lower threshold: that of the instance or of the services it called. The
 * daemon no longer knows the condition of a process that has been withdrawn.
 */
function createLoad({
  condition,
  load,
  run,
}: Pick<AnswerParts, 'condition' | 'load' | 'run'>): InstanceLoad {
  const downstreamThreshold = Math.round(
    run?.getDownstreamThreshold() ?? load.threshold,
  );
  return {
    ...load,
    condition: load.condition ?? {...condition, startDelayMilliseconds: 0},
    threshold: Math.min(load.threshold, downstreamThreshold),
  };
}

/**
 * Splits an answer into packets; the first one carries the head.
 *
 * @example
 * for (const packet of createAnswerPackets(parts)) send(packet);
 */
export function createAnswerPackets({
  body,
  condition,
  costs,
  headerLines,
  load,
  offer,
  run,
  runMilliseconds,
  status,
}: AnswerParts): readonly AnswerPacket[] {
  const first: AnswerPacket = {
    attempt: offer.attempt,
    body: body.subarray(0, ANSWER_PART_BYTES),
    costs,
    failedCalls: run?.failedCalls ?? 0,
    forwardedLines: headerLines,
    isLast: body.length <= ANSWER_PART_BYTES,
    kind: 'answer',
    load: createLoad({condition, load, run}),
    runMilliseconds,
    status,
  };
  if (first.isLast) {
    return [first];
  }
  const packets: AnswerPacket[] = [{...first, partNumber: 0}];
  for (
    let offset = ANSWER_PART_BYTES;
    offset < body.length;
    offset += ANSWER_PART_BYTES
  ) {
    const end = offset + ANSWER_PART_BYTES;
    packets.push({
      ...first,
      body: body.subarray(offset, end),
      costs: undefined,
      forwardedLines: '',
      isLast: end >= body.length,
      partNumber: packets.length,
    });
  }
  return packets;
}
