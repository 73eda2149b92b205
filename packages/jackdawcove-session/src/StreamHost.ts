/** What the calls of one session need of it. */

import type {FrameFields, FrameKind} from './FrameSchemas.js';
import type {CallNumber, SessionEffect} from './SessionEffects.js';
import type {ResultName} from 'jackdawcove-shared';

/** Sends a frame at once, in the order of the calls to it. */
export type EmitFrame = <Kind extends FrameKind>(
  kind: Kind,
  fields: FrameFields[Kind],
  body?: Uint8Array,
) => void;

/** Services of a session core for its calls. */
export type StreamHost = {
  readonly checksBodies: boolean;
  readonly close: (result: ResultName, detail: string) => void;
  readonly countDroppedFrame: () => void;
  readonly emit: EmitFrame;
  /** Returns whether the session holds too many bytes for another call. */
  readonly isOverloaded: () => boolean;
  /** Notes that a call may have something to send. */
  readonly markReady: (callNumber: CallNumber) => void;
  readonly maximumCalls: number;
  readonly addBufferedBytes: (byteCount: number) => void;
  readonly report: (effect: SessionEffect) => void;
  readonly removeBufferedBytes: (byteCount: number) => void;
  readonly windowBytes: number;
};
