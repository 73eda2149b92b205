/** Interface of a session core for the calls of the session. */

import type {FrameFields, FrameKind} from './FrameSchemas.js';
import type {CallNumber, SessionEffect} from './SessionEffects.js';
import type {ResultName} from 'jackdawcove-shared';

/** Writes a frame; frames are sent in the order in which they are written. */
export type EmitFrame = <Kind extends FrameKind>(
  kind: Kind,
  fields: FrameFields[Kind],
  body?: Uint8Array,
) => void;

/** Functions and limits that a session core provides for its calls. */
export type StreamHost = {
  readonly checksBodies: boolean;
  readonly close: (result: ResultName, detail: string) => void;
  readonly countDroppedFrame: () => void;
  readonly emit: EmitFrame;
  /** Returns whether too many bytes are buffered to accept another call. */
  readonly isOverloaded: () => boolean;
  /** Marks a call that may have data to send. */
  readonly markReady: (callNumber: CallNumber) => void;
  readonly maximumCalls: number;
  readonly addBufferedBytes: (byteCount: number) => void;
  readonly report: (effect: SessionEffect) => void;
  readonly removeBufferedBytes: (byteCount: number) => void;
  readonly windowBytes: number;
};
