export type {
  PlacementCandidate,
  PlacementRequest,
} from './caller/InstancePlacement.js';
export type {RetryBudgetOptions} from './caller/SharedRetryBudget.js';
export type {BodyFraming} from './http/BodyReader.js';
export type {HeaderRule, HeaderRules, HttpHead} from './http/HttpHead.js';
export type {
  MessageFault,
  MessageHandlers,
  MessageLimits,
  MessagePosition,
} from './http/MessageReader.js';
export type {ConditionReport, InstanceLoad} from './packets/InstanceLoad.js';
export type {
  AnswerPacket,
  CancelPacket,
  FailurePacket,
  FailureReason,
  OfferPacket,
  OfferRole,
  RelayPacket,
} from './packets/RelayPackets.js';
export type {ServiceCost} from './packets/ServiceCosts.js';
export type {WaitingRequest} from './server/InstanceAdmission.js';
export type {InstanceCondition} from './server/InstanceCondition.js';

export {getShedRank} from './caller/getShedRank.js';
export {InstancePlacement} from './caller/InstancePlacement.js';
export {RouteGate} from './caller/RouteGate.js';
export {ShedRanks} from './caller/ShedRanks.js';
export {SharedRetryBudget} from './caller/SharedRetryBudget.js';
export {
  findAnswerFraming,
  findRequestFraming,
  isBodiless,
  parseStatus,
} from './http/findFraming.js';
export {
  createHeaderRules,
  isConnectionClosed,
  parseHead,
} from './http/HttpHead.js';
export {MessageReader} from './http/MessageReader.js';
export {decodePacket, encodePacket} from './packets/RelayPackets.js';
export {ServiceCostSum} from './packets/ServiceCosts.js';
export {LINE_END, RANK_COUNT, RANKS_PER_IMPORTANCE} from './RelayConstants.js';
export {InstanceAdmission} from './server/InstanceAdmission.js';
export {InstanceRetryBudget} from './server/InstanceRetryBudget.js';
export {NORMAL_CONDITION} from './server/InstanceCondition.js';
