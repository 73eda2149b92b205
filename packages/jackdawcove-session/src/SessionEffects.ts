/** Effects of a session core, which its owner executes. */

import type {FrameFields} from './FrameSchemas.js';
import type {Greeting} from './Handshake.js';
import type {
  AnswerEnd,
  AnswerHead,
  CallHead,
  CallRefusal,
} from './SessionSchemas.js';
import type {AttemptResolution, ChannelName} from './SessionTypes.js';
import type {Failure} from 'jackdawcove-shared';

/** Number of a call within its session; the initiator uses odd numbers. */
export type CallNumber = number;

/** Effects that concern one call. */
export type CallEffect =
  | {
      readonly body: Uint8Array;
      readonly callNumber: CallNumber;
      readonly kind: 'answerBody' | 'requestBody';
    }
  | {
      readonly callNumber: CallNumber;
      readonly end: AnswerEnd;
      readonly kind: 'answerEnd';
    }
  | {
      readonly callNumber: CallNumber;
      readonly failure: Failure;
      readonly kind: 'cancelled';
    }
  | {
      readonly callNumber: CallNumber;
      readonly failure: Failure;
      readonly kind: 'failed';
      readonly tokensReturned: number;
    }
  | {
      readonly callNumber: CallNumber;
      readonly head: AnswerHead;
      readonly kind: 'answerHead';
    }
  | {
      readonly callNumber: CallNumber;
      readonly head: CallHead;
      readonly kind: 'callReceived';
    }
  | {
      readonly callNumber: CallNumber;
      readonly kind: 'answerAcknowledged' | 'requestEnd' | 'writable';
    }
  | {
      readonly callNumber: CallNumber;
      readonly kind: 'refused';
      readonly refusal: CallRefusal;
    }
  | {
      readonly callNumber: CallNumber;
      readonly kind: 'resolution';
      readonly resolution: AttemptResolution;
    }
  | {
      readonly callNumber: CallNumber;
      readonly kind: 'resolveReceived';
      readonly query: FrameFields['resolve'];
    };

/** Effects of a session. */
export type SessionEffect =
  | CallEffect
  | {
      readonly channel: ChannelName;
      readonly kind: 'message';
      readonly message: unknown;
    }
  | {readonly bytes: Uint8Array; readonly kind: 'packet'}
  | {readonly chunks: readonly Uint8Array[]; readonly kind: 'send'}
  | {readonly failure: Failure; readonly kind: 'closed'}
  | {readonly kind: 'established'; readonly peer: Greeting};
