/**
 * One session without its socket: it takes bytes and time and returns effects.
 *
 * Commands on calls only queue data; `flush` encodes it into frames, so that
 * the head, a small body and the end of a call become one frame.
 */

import type {AcknowledgementsHost} from './Acknowledgements.js';
import type {RawFrame} from './FrameCodec.js';
import type {Frame, FrameFields, FrameKind} from './FrameSchemas.js';
import type {Greeting} from './Handshake.js';
import type {HandshakeOutcome, HandshakeStep} from './HandshakeMachine.js';
import type {SessionCoreOptions} from './SessionCoreOptions.js';
import type {CallNumber, SessionEffect} from './SessionEffects.js';
import type {ChannelName, SessionCounts, SessionPhase} from './SessionTypes.js';
import type {StreamHost} from './StreamHost.js';
import type {Failure, Milliseconds, ResultName} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

import {Acknowledgements} from './Acknowledgements.js';
import {findCallRefusal} from './findCallRefusal.js';
import {createFrameDecoder, decodeFrame, FrameSplitter} from './FrameCodec.js';
import {FrameWriter, getNextSequence} from './FrameWriter.js';
import {HandshakeMachine} from './HandshakeMachine.js';
import {IncomingStreams} from './IncomingStreams.js';
import {OutgoingStreams} from './OutgoingStreams.js';
import {MAXIMUM_HANDSHAKE_FRAME_BYTES} from './SessionConstants.js';

const NO_EFFECTS: readonly SessionEffect[] = [];

/** State machine of one end of a session. */
export class SessionCore {
  /** Calls that the peer opened. */
  readonly incoming: IncomingStreams;
  /** Calls that this end opened. */
  readonly outgoing: OutgoingStreams;
  #bufferedBytes = 0;
  #decoder = createFrameDecoder();
  #effects: SessionEffect[] = [];
  #framesDropped = 0;
  readonly #handshake: HandshakeMachine;
  #isGoodbyeSent = false;
  readonly #acknowledgements: Acknowledgements;
  readonly #options: SessionCoreOptions;
  readonly #callParity: number;
  #peer: Greeting | undefined;
  #phase: SessionPhase = 'handshake';
  readonly #readyCalls = new Set<CallNumber>();
  #receivedSequence = 0;
  readonly #splitter: FrameSplitter;
  readonly #startedAt: Milliseconds;
  #tag = 0;
  readonly #writer: FrameWriter;

  constructor(options: SessionCoreOptions) {
    const host = this.#createHost(options);
    this.#handshake = new HandshakeMachine(options);
    this.#acknowledgements = this.#createAcknowledgements(options);
    this.#options = options;
    this.#callParity = options.role === 'initiator' ? 1 : 0;
    this.incoming = new IncomingStreams(host, (callNumber) => {
      this.#acknowledgements.recordSentAnswer(callNumber);
    });
    this.outgoing = new OutgoingStreams(host, this.#callParity === 1 ? 1 : 2);
    this.#splitter = new FrameSplitter(MAXIMUM_HANDSHAKE_FRAME_BYTES);
    this.#startedAt = options.now;
    this.#writer = new FrameWriter(options.limits.maximumFrameBytes);
  }

  /** Returns counts and sizes. */
  getCounts(): SessionCounts {
    return {
      bufferedBytes: this.#bufferedBytes + this.#splitter.getPendingBytes(),
      framesDropped: this.#framesDropped,
      framesReceived: this.#receivedSequence,
      framesSent: this.#writer.getFrameCount(),
      incomingCalls: this.incoming.getCount(),
      outgoingCalls: this.outgoing.getCount(),
    };
  }

  /** Returns the peer once it is authenticated. */
  getPeer(): Greeting | undefined {
    return this.#peer;
  }

  /** Returns the phase of the session. */
  getPhase(): SessionPhase {
    return this.#phase;
  }

  /** Returns why this end cannot open a call now, or undefined. */
  getCallRefusal(): Failure | undefined {
    return findCallRefusal(
      this.#options.limits,
      this.#bufferedBytes,
      this.outgoing.getCount(),
    );
  }

  /** Returns whether a flush would send anything. */
  hasOutput(): boolean {
    return this.#readyCalls.size > 0 || this.#writer.getPendingBytes() > 0;
  }

  /** Returns the number of encoded bytes that wait to be sent. */
  getPendingBytes(): number {
    return this.#writer.getPendingBytes();
  }

  /** Closes the session with a failure given by its owner. */
  abort(failure: Failure): readonly SessionEffect[] {
    this.#close(failure);
    return this.#takeEffects();
  }

  /** Encodes ready data into frames until the budget is used up. */
  flush(budgetBytes: number): readonly SessionEffect[] {
    let previous = this.#writer.getPendingBytes();
    let remaining = budgetBytes;
    for (const callNumber of this.#readyCalls) {
      if (remaining <= 0 || this.#phase !== 'open') {
        break;
      }
      this.#readyCalls.delete(callNumber);
      const isOwn = callNumber % 2 === this.#callParity;
      const streams = isOwn ? this.outgoing : this.incoming;
      if (streams.sendReady(callNumber)) {
        this.#readyCalls.add(callNumber);
      }
      remaining -= this.#writer.getPendingBytes() - previous;
      previous = this.#writer.getPendingBytes();
    }
    if (this.#phase === 'open' && this.#writer.getPendingBytes() > 0) {
      this.#acknowledgements.acknowledgeWithOutput();
    }
    return this.#takeEffects();
  }

  /** Handles bytes received from the peer. */
  receive(bytes: Uint8Array): readonly SessionEffect[] {
    if (this.#phase === 'closed') {
      return [];
    }
    this.#acknowledgements.recordReceivedBytes(bytes.length);
    const split = this.#splitter.push(bytes);
    if (split.isErr) {
      this.#close(split.error);
      return this.#takeEffects();
    }
    for (const raw of split.value) {
      if (this.getPhase() !== 'closed') {
        this.#handleRawFrame(raw);
      }
    }
    if (this.getPhase() === 'open') {
      this.#acknowledgements.acknowledgeIfDue();
    }
    return this.#takeEffects();
  }

  /** Asks the peer to close the session if it has no open call. */
  sendGoodbye(): readonly SessionEffect[] {
    if (this.#phase === 'open' && !this.#isGoodbyeSent) {
      this.#isGoodbyeSent = true;
      this.#emit('goodbye', {});
    }
    return this.#takeEffects();
  }

  /** Sends a message; false if the writer rejects it or no session is open. */
  sendMessage(channel: ChannelName, message: unknown): boolean {
    const isSent =
      this.#phase === 'open' && this.#writer.addMessage({channel, message});
    if (isSent) {
      this.#acknowledgements.recordSent('message');
    }
    return isSent;
  }

  /** Sends a packet; false unless the session is open. */
  sendPacket(bytes: Uint8Array): boolean {
    if (this.#phase !== 'open') {
      return false;
    }
    this.#writer.addPacket(bytes);
    this.#acknowledgements.recordSent('message');
    return true;
  }

  /** Starts the handshake. */
  start(): readonly SessionEffect[] {
    this.#applyStep(this.#handshake.start());
    return this.#takeEffects();
  }

  /** Advances time; may send a ping or close the session after a timeout. */
  tick(now: Milliseconds): readonly SessionEffect[] {
    if (this.#phase === 'handshake') {
      const {connectTimeoutMilliseconds} = this.#options.limits;
      if (now - this.#startedAt >= connectTimeoutMilliseconds) {
        this.#close(createFailure('daemonUnreachable', 'handshake timeout'));
      }
    } else if (
      this.#phase === 'open' &&
      this.#options.switches.checksKeepalive
    ) {
      this.#acknowledgements.tick(now, this.#hasCalls());
    }
    return this.#takeEffects();
  }

  #applyOutcome(outcome: HandshakeOutcome): void {
    switch (outcome.kind) {
      case 'established':
        this.#peer = outcome.peer;
        this.#phase = 'open';
        this.#tag = outcome.tag;
        this.#writer.setTag(outcome.tag);
        this.#splitter.setMaximumFrameBytes(
          this.#options.limits.maximumFrameBytes,
        );
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
      addBufferedBytes: (byteCount) => {
        this.#bufferedBytes += byteCount;
      },
      checksBodies: options.switches.checksBodies,
      close: (result: ResultName, detail: string) => {
        this.#close(createFailure(result, detail));
      },
      countDroppedFrame: () => {
        this.#framesDropped += 1;
      },
      emit: (kind, fields, body) => {
        this.#emit(kind, fields, body);
      },
      isOverloaded: () =>
        this.#bufferedBytes > options.limits.maximumSessionBufferedBytes,
      markReady: (callNumber) => {
        this.#readyCalls.add(callNumber);
      },
      maximumCalls: options.limits.maximumCallsPerSession,
      removeBufferedBytes: (byteCount) => {
        this.#bufferedBytes -= byteCount;
      },
      report: (effect) => {
        this.#effects.push(effect);
      },
      windowBytes: options.limits.streamWindowBytes,
    };
  }

  #createAcknowledgements(options: SessionCoreOptions): Acknowledgements {
    const host: AcknowledgementsHost = {
      emit: (kind, fields) => {
        this.#emit(kind, fields);
      },
      onAnswerAcknowledged: (callNumber) => {
        this.#effects.push({callNumber, kind: 'answerAcknowledged'});
      },
      onTimeout: () => {
        this.#close(createFailure('keepaliveTimeout'));
      },
    };
    return new Acknowledgements(host, options.limits, options.now);
  }

  #emit<Kind extends FrameKind>(
    kind: Kind,
    fields: FrameFields[Kind],
    body?: Uint8Array,
  ): void {
    if (this.#phase === 'closed') {
      return;
    }
    this.#acknowledgements.recordSent(kind);
    this.#writer.add(kind, fields, body);
  }

  #hasCalls(): boolean {
    return this.outgoing.getCount() + this.incoming.getCount() > 0;
  }

  #pushOutput(): void {
    if (this.#writer.getPendingBytes() > 0) {
      this.#effects.push({chunks: this.#writer.take(), kind: 'send'});
    }
  }

  #handleFrame(frame: Frame): void {
    switch (frame.kind) {
      case 'acknowledge':
      case 'ping':
      case 'pong':
        this.#acknowledgements.handleFrame(frame);
        break;
      case 'goodbye':
        this.#handleGoodbye();
        break;
      case 'message':
        this.#effects.push({...frame.fields, kind: 'message'});
        break;
      case 'recordsReset':
        this.#decoder = createFrameDecoder();
        break;
      default:
        this.#handleStreamFrame(frame);
    }
  }

  #handleGoodbye(): void {
    if (this.#hasCalls()) {
      return;
    }
    if (!this.#isGoodbyeSent) {
      this.#emit('goodbye', {});
    }
    this.#close(createFailure('sessionClosed', 'idle'));
  }

  #handleRawFrame(raw: RawFrame): void {
    const isExpected =
      raw.tag === this.#tag && raw.sequence === this.#receivedSequence;
    if (!isExpected && this.#options.switches.checksBinding) {
      this.#close(createFailure('frameReplayed', String(raw.sequence)));
      return;
    }
    this.#receivedSequence = getNextSequence(this.#receivedSequence);
    if (raw.fields.length === 0 && this.#phase === 'open') {
      this.#acknowledgements.recordReceived('message');
      this.#effects.push({bytes: raw.body, kind: 'packet'});
      return;
    }
    const frame = decodeFrame(this.#decoder, raw);
    if (frame.isErr) {
      this.#close(frame.error);
      return;
    }
    if (this.#phase === 'handshake') {
      this.#applyStep(this.#handshake.handleFrame(frame.value));
      return;
    }
    this.#acknowledgements.recordReceived(frame.value.kind);
    this.#handleFrame(frame.value);
  }

  #handleStreamFrame(frame: Frame): void {
    if (!('callNumber' in frame.fields)) {
      this.#close(createFailure('frameMalformed', frame.kind));
      return;
    }
    this.#isGoodbyeSent = false;
    const isOwn = frame.fields.callNumber % 2 === this.#callParity;
    (isOwn ? this.outgoing : this.incoming).handleFrame(frame);
  }

  #takeEffects(): readonly SessionEffect[] {
    this.#pushOutput();
    const effects = this.#effects;
    if (effects.length === 0) {
      return NO_EFFECTS;
    }
    this.#effects = [];
    return effects;
  }
}
