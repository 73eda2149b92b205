/** Default formats of headers and answers, for a daemon that is not embedded. */

import type {AnswerDialect, BackendDialect} from './EmbeddingTypes.js';
import type {Header} from 'jackdawcove-session';

import {
  formatAddress,
  MILLISECONDS_PER_SECOND,
  RESULT_CODES,
} from 'jackdawcove-shared';

import {
  CONTEXT_HEADER,
  EXECUTED_HEADER,
  KEY_HEADER,
  REMAINING_HEADER,
  RESULT_HEADER,
} from '../dataPlane/DataPlaneConstants.js';

/** Adds the number of the result and whether the request was executed. */
export const DEFAULT_ANSWER_DIALECT: AnswerDialect = {
  createForwardedHeaders: (headers) => [
    ...headers,
    [RESULT_HEADER, String(RESULT_CODES.ok.number)],
    [EXECUTED_HEADER, RESULT_CODES.ok.executed],
  ],
  createResultAnswer: ({executed, result, retryAfterMilliseconds}) => {
    const code = RESULT_CODES[result];
    const {description, httpStatus, name, number} = code;
    const body = JSON.stringify({description, executed, name, number});
    const headers: Header[] = [
      ['content-type', 'application/json'],
      [RESULT_HEADER, String(number)],
      [EXECUTED_HEADER, executed],
    ];
    if (retryAfterMilliseconds !== undefined) {
      const seconds = retryAfterMilliseconds / MILLISECONDS_PER_SECOND;
      headers.push(['retry-after', String(Math.max(1, Math.ceil(seconds)))]);
    }
    return {body, headers, status: httpStatus};
  },
};

/**
 * Adds the context and the remaining time; every answer belongs to its request.
 */
export const DEFAULT_BACKEND_DIALECT: BackendDialect = {
  classifyAnswer: () => 'answer',
  createRequestHeaders: ({address, dispatch, headers}) => {
    const {attempt, contextHeader, remainingMilliseconds} = dispatch;
    const created: Header[] = [
      ...headers.filter(([name]) => name !== KEY_HEADER),
      ['host', formatAddress(address)],
      [CONTEXT_HEADER, contextHeader],
      [REMAINING_HEADER, String(Math.floor(remainingMilliseconds))],
    ];
    if (attempt.idempotencyKey !== undefined) {
      created.push([KEY_HEADER, attempt.idempotencyKey]);
    }
    return created;
  },
};
