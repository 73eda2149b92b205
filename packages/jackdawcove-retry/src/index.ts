export type {LendTokens} from './RetryAllowance.js';
export type {RetryBudgetOptions} from './RetryBudget.js';

export {lendLargerHalf, RetryAllowance} from './RetryAllowance.js';
export {DEFAULT_RETRY_BUDGET_OPTIONS, RetryBudget} from './RetryBudget.js';
