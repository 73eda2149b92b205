/**
 * One session without its socket: bytes and time in, effects out.
 *
 * Commands on calls only note what is to be sent; `flush` turns it into frames,
 * so that the head, a small body and the end of a call become one frame.
 */

import type {RawFrame} from './FrameCodec.js';
import type {Frame, FrameFields, FrameKind} from './FrameSchemas.js';
import type {Greeting} from './Handshake.js';
import type {
  HandshakeOptions,
  HandshakeOutcome,
  HandshakeStep,
} from './HandshakeMachine.js';
import type {CallNumber, SessionEffect} from './SessionEffects.js';
import type {
  ChannelName,
  SessionLimits,
  SessionSwitches,
} from './SessionTypes.js';
import type {StreamHost} from './StreamHost.js';
import type {Failure, Milliseconds, ResultName} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

import {decodeFrame, FrameSplitter} from './FrameCodec.js';
import {FrameWriter, getNextSequence} from './FrameWriter.js';
import {HandshakeMachine} from './HandshakeMachine.js';
import {IncomingStreams} from './IncomingStreams.js';
import {Keepalive} from './Keepalive.js';
import {OutgoingStreams} from './OutgoingStreams.js';
import {ACKNOWLEDGE_BYTES} from './SessionConstants.js';

/** What a session core needs. */
export type SessionCoreOptions = HandshakeOptions & {
  readonly limits: SessionLimits;
  readonly now: Milliseconds;
  readonly switches: SessionSwitches;
};

/** Phase of a session. */
export type SessionPhase = 'closed' | 'handshake' | 'open';

/** Counts of one session. */
export type SessionCounts = {
  readonly bufferedBytes: number;
  readonly framesDropped: number;
  readonly framesReceived: number;
  readonly framesSent: number;
  readonly incomingCalls: number;
  readonly outgoingCalls: number;
};

type FinishedAnswer = {
  readonly callNumber: CallNumber;
  readonly frames: number;
};

/** Frames that do not ask for an acknowledgement. */
const UNCOUNTED: ReadonlySet<FrameKind> = new Set<FrameKind>([
  'accepted',
  'acknowledge',
  'challenge',
  'goodbye',
  'hello',
  'ping',
  'pong',
  'proof',
  'reject',
]);

/** State machine of one end of a session. */
export class SessionCore {
  /** Calls of the other end. */
  readonly incoming: IncomingStreams;
  /** Calls of this end. */
  readonly outgoing: OutgoingStreams;
  #acknowledgedBytes = 0;
  #bufferedBytes = 0;
  #effects: SessionEffect[] = [];
  readonly #finishedAnswers: FinishedAnswer[] = [];
  #framesDropped = 0;
  readonly #handshake: HandshakeMachine;
  #isGoodbyeSent = false;
  readonly #keepalive: Keepalive;
  readonly #options: SessionCoreOptions;
  readonly #ownParity: number;
  #peer: Greeting | undefined;
  #phase: SessionPhase = 'handshake';
  readonly #ready = new Set<CallNumber>();
  #receivedBytes = 0;
  #receivedSequence = 0;
  readonly #splitter: FrameSplitter;
  readonly #startedAt: Milliseconds;
  #tag = 0;
  readonly #writer = new FrameWriter();

  constructor(options: SessionCoreOptions) {
    const host = this.#createHost(options);
    this.#handshake = new HandshakeMachine(options);
    this.#keepalive = new Keepalive(options.limits, options.now);
    this.#options = options;
    this.#ownParity = options.role === 'initiator' ? 1 : 0;
    this.incoming = new IncomingStreams(host, (callNumber) => {
      const frames = this.#keepalive.getSentFrames();
      this.#finishedAnswers.push({callNumber, frames});
    });
    this.outgoing = new OutgoingStreams(host, this.#ownParity === 1 ? 1 : 2);
    this.#splitter = new FrameSplitter(options.limits.maximumFrameBytes);
    this.#startedAt = options.now;
  }

  /** Returns counts and sizes. */
  getCounts(): SessionCounts {
    return {
      bufferedBytes: this.#bufferedBytes + this.#splitter.getPendingBytes(),
      framesDropped: this.#framesDropped,
      framesReceived: this.#receivedSequence,
      framesSent: this.#writer.getFrames(),
      incomingCalls: this.incoming.getCount(),
      outgoingCalls: this.outgoing.getCount(),
    };
  }

  /** Returns the other end, once it is proved. */
  getPeer(): Greeting | undefined {
    return this.#peer;
  }

  /** Returns the phase of the session. */
  getPhase(): SessionPhase {
    return this.#phase;
  }

  /** Returns why a new call of this end is not accepted now, or undefined. */
  getRefusal(): Failure | undefined {
    const {limits} = this.#options;
    if (this.#bufferedBytes > limits.maximumSessionBufferedBytes) {
      return createFailure('tooManyBufferedBytes');
    }
    return this.outgoing.getCount() >= limits.maximumCallsPerSession
      ? createFailure('tooManyOpenCalls')
      : undefined;
  }

  /** Closes the session for a reason of its owner. */
  abort(failure: Failure): readonly SessionEffect[] {
    this.#close(failure);
    return this.#takeEffects();
  }

  /** Turns what is ready into frames until the budget is used up. */
  flush(budgetBytes: number): readonly SessionEffect[] {
    let previous = this.#writer.getBytes();
    let remaining = budgetBytes;
    for (const callNumber of this.#ready) {
      if (remaining <= 0 || this.#phase !== 'open') {
        break;
      }
      this.#ready.delete(callNumber);
      const hasMore =
        callNumber % 2 === this.#ownParity
          ? this.outgoing.sendReady(callNumber)
          : this.incoming.sendReady(callNumber);
      if (hasMore) {
        this.#ready.add(callNumber);
      }
      remaining -= this.#writer.getBytes() - previous;
      previous = this.#writer.getBytes();
    }
    return this.#takeEffects();
  }

  /** Handles bytes of the other end. */
  receive(bytes: Uint8Array): readonly SessionEffect[] {
    if (this.#phase === 'closed') {
      return [];
    }
    this.#receivedBytes += bytes.length;
    const cut = this.#splitter.push(bytes);
    if (cut.isErr) {
      this.#close(cut.error);
      return this.#takeEffects();
    }
    for (const raw of cut.value) {
      if (this.getPhase() !== 'closed') {
        this.#receiveRaw(raw);
      }
    }
    this.#acknowledgeBytes();
    return this.#takeEffects();
  }

  /** Asks the other end to close the session if it has no call. */
  sendGoodbye(): readonly SessionEffect[] {
    if (this.#phase === 'open' && !this.#isGoodbyeSent) {
      this.#isGoodbyeSent = true;
      this.#emit('goodbye', {});
    }
    return this.#takeEffects();
  }

  /** Sends a message. */
  sendMessage(channel: ChannelName, message: unknown): void {
    this.#emit('message', {channel, message});
  }

  /** Starts the handshake. */
  start(): readonly SessionEffect[] {
    this.#applyStep(this.#handshake.start());
    return this.#takeEffects();
  }

  /** Advances time. */
  tick(now: Milliseconds): readonly SessionEffect[] {
    if (this.#phase === 'handshake') {
      this.#tickHandshake(now);
    } else if (
      this.#phase === 'open' &&
      this.#options.switches.checksKeepalive
    ) {
      this.#tickOpen(now);
    }
    return this.#takeEffects();
  }

  #acknowledgeBytes(): void {
    const progress = this.#receivedBytes - this.#acknowledgedBytes;
    if (this.#phase === 'open' && progress >= ACKNOWLEDGE_BYTES) {
      this.#acknowledgedBytes = this.#receivedBytes;
      this.#emit('acknowledge', {frames: this.#keepalive.getReceivedFrames()});
    }
  }

  #applyOutcome(outcome: HandshakeOutcome): void {
    switch (outcome.kind) {
      case 'established':
        this.#peer = outcome.peer;
        this.#phase = 'open';
        this.#tag = outcome.tag;
        this.#writer.setTag(outcome.tag);
        this.#effects.push({kind: 'established', peer: outcome.peer});
        break;
      case 'failed':
        this.#close(outcome.failure);
        break;
      case 'waiting':
        break;
    }
  }

  #applyStep(step: HandshakeStep): void {
    for (const reply of step.replies) {
      this.#emit(reply.kind, reply.fields);
    }
    this.#applyOutcome(step.outcome);
  }

  #close(failure: Failure): void {
    if (this.#phase === 'closed') {
      return;
    }
    this.#phase = 'closed';
    this.#pushOutput();
    this.#effects.push({failure, kind: 'closed'});
  }

  #createHost(options: SessionCoreOptions): StreamHost {
    return {
      checksBodies: options.switches.checksBodies,
      close: (result: ResultName, detail: string) => {
        this.#close(createFailure(result, detail));
      },
      countDropped: () => {
        this.#framesDropped += 1;
      },
      emit: (kind, fields, body) => {
        this.#emit(kind, fields, body);
      },
      markReady: (callNumber) => {
        this.#ready.add(callNumber);
      },
      maximumCalls: options.limits.maximumCallsPerSession,
      queueBytes: (byteCount) => {
        this.#bufferedBytes += byteCount;
      },
      report: (effect) => {
        this.#effects.push(effect);
      },
      unqueueBytes: (byteCount) => {
        this.#bufferedBytes -= byteCount;
      },
      windowBytes: options.limits.streamWindowBytes,
    };
  }

  #emit<Kind extends FrameKind>(
    kind: Kind,
    fields: FrameFields[Kind],
    body?: Uint8Array,
  ): void {
    if (this.#phase === 'closed') {
      return;
    }
    if (!UNCOUNTED.has(kind)) {
      this.#keepalive.recordSent();
    }
    this.#writer.add(kind, fields, body);
  }

  #pushOutput(): void {
    if (this.#writer.getBytes() > 0) {
      this.#effects.push({chunks: this.#writer.take(), kind: 'send'});
    }
  }

  #receiveAcknowledged(): void {
    const acknowledged = this.#keepalive.getAcknowledgedFrames();
    let count = 0;
    for (const {callNumber, frames} of this.#finishedAnswers) {
      if (frames > acknowledged) {
        break;
      }
      count += 1;
      this.#effects.push({callNumber, kind: 'answerAcknowledged'});
    }
    this.#finishedAnswers.splice(0, count);
  }

  #receiveFrame(frame: Frame): void {
    switch (frame.kind) {
      case 'acknowledge':
        this.#keepalive.acknowledge(frame.fields.frames);
        this.#receiveAcknowledged();
        break;
      case 'goodbye':
        this.#receiveGoodbye();
        break;
      case 'message':
        this.#effects.push({...frame.fields, kind: 'message'});
        break;
      case 'ping':
        this.#receivePing(frame.fields);
        break;
      case 'pong':
        this.#keepalive.receivePong(
          frame.fields.pingNumber,
          frame.fields.frames,
        );
        this.#receiveAcknowledged();
        break;
      default:
        this.#receiveStreamFrame(frame);
    }
  }

  #receiveGoodbye(): void {
    const isBusy = this.outgoing.getCount() + this.incoming.getCount() > 0;
    if (isBusy) {
      return;
    }
    if (!this.#isGoodbyeSent) {
      this.#emit('goodbye', {});
    }
    this.#close(createFailure('sessionClosed', 'idle'));
  }

  #receivePing(fields: FrameFields['ping']): void {
    this.#keepalive.acknowledge(fields.frames);
    this.#receiveAcknowledged();
    this.#emit('pong', {
      frames: this.#keepalive.getReceivedFrames(),
      pingNumber: fields.pingNumber,
    });
  }

  #receiveRaw(raw: RawFrame): void {
    const isBound =
      raw.tag === this.#tag && raw.sequence === this.#receivedSequence;
    if (!isBound && this.#options.switches.checksBinding) {
      this.#close(createFailure('frameReplayed', String(raw.sequence)));
      return;
    }
    this.#receivedSequence = getNextSequence(this.#receivedSequence);
    const frame = decodeFrame(raw);
    if (frame.isErr) {
      this.#close(frame.error);
      return;
    }
    if (this.#phase === 'handshake') {
      this.#applyStep(this.#handshake.receive(frame.value));
      return;
    }
    if (!UNCOUNTED.has(frame.value.kind)) {
      this.#keepalive.recordReceived();
    }
    this.#receiveFrame(frame.value);
  }

  #receiveStreamFrame(frame: Frame): void {
    if (!('callNumber' in frame.fields)) {
      this.#close(createFailure('frameMalformed', frame.kind));
      return;
    }
    this.#isGoodbyeSent = false;
    const isOwn = frame.fields.callNumber % 2 === this.#ownParity;
    if (isOwn) {
      this.outgoing.receive(frame);
    } else {
      this.incoming.receive(frame);
    }
  }

  #takeEffects(): readonly SessionEffect[] {
    this.#pushOutput();
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #tickHandshake(now: Milliseconds): void {
    const {connectTimeoutMilliseconds} = this.#options.limits;
    if (now - this.#startedAt >= connectTimeoutMilliseconds) {
      this.#close(createFailure('daemonUnreachable', 'handshake timeout'));
    }
  }

  #tickOpen(now: Milliseconds): void {
    const hasCalls = this.outgoing.getCount() + this.incoming.getCount() > 0;
    const verdict = this.#keepalive.tick(now, hasCalls);
    if (verdict === 'dead') {
      this.#close(createFailure('keepaliveTimeout'));
    } else if (verdict === 'ping') {
      this.#emit('ping', {
        frames: this.#keepalive.getReceivedFrames(),
        pingNumber: this.#keepalive.getPingNumber(),
      });
    }
  }
}
