export type {QuotaAggregatorOptions, QuotaEffect} from './QuotaEffect.js';
export type {QuotaLimiterOptions} from './QuotaLimiter.js';
export type {
  QuotaAnswer,
  QuotaMessage,
  QuotaReport,
  QuotaSums,
} from './QuotaMessages.js';
export type {FindQuota, Quota, QuotaRule} from './QuotaTypes.js';

export {AggregatorChoice} from './AggregatorChoice.js';
export {QuotaAggregator} from './QuotaAggregator.js';
export {QUOTA_INTERVAL_MILLISECONDS} from './QuotaConstants.js';
export {QuotaLimiter} from './QuotaLimiter.js';
export {quotaMessageSchema} from './QuotaMessages.js';
export {selectAggregator} from './selectAggregator.js';
