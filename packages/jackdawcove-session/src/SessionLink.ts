/** TCP adapter of one session: applies the effects of its core. */

import type {FrameFields} from './FrameSchemas.js';
import type {Greeting} from './Handshake.js';
import type {IncomingCallRecord} from './IncomingCallRecord.js';
import type {OutgoingCallRecord} from './OutgoingCallRecord.js';
import type {SessionCore} from './SessionCore.js';
import type {CallEffect, CallNumber, SessionEffect} from './SessionEffects.js';
import type {CallHead} from './SessionSchemas.js';
import type {ChannelName, MessageSource} from './SessionTypes.js';
import type {Failure, Milliseconds, MonotonicClock} from 'jackdawcove-shared';
import type {Socket} from 'node:net';

import {createFailure} from 'jackdawcove-shared';

import {
  MAXIMUM_SOCKET_BACKLOG_BYTES,
  SOCKET_HIGH_WATER_BYTES,
} from './SessionConstants.js';
import {
  isWildcardHost,
  joinSmallChunks,
  shortenDeadline,
} from './SessionUtils.js';

/** Clock and callbacks that a link needs from its owner. */
export type SessionLinkOwner = {
  readonly clock: MonotonicClock;
  readonly onAcknowledged: (record: IncomingCallRecord) => void;
  readonly onCall: (
    link: SessionLink,
    head: CallHead,
  ) => IncomingCallRecord | undefined;
  readonly onCancelled: (record: IncomingCallRecord, failure: Failure) => void;
  readonly onClosed: (link: SessionLink, failure: Failure) => void;
  readonly onEstablished: (link: SessionLink, peer: Greeting) => void;
  readonly onMessage: (
    link: SessionLink,
    channel: ChannelName,
    message: unknown,
  ) => void;
  readonly onPacket: (link: SessionLink, bytes: Uint8Array) => void;
  readonly onResolve: (
    link: SessionLink,
    query: FrameFields['resolve'],
  ) => IncomingCallRecord | undefined;
  /** Called with the bytes of a message, or of all that was written as `session`. */
  readonly onSent: (link: SessionLink, kind: string, byteCount: number) => void;
};

const CLOSE_DELAY_MILLISECONDS = 1_000;

/** Connects a session core to its socket and to the calls on it. */
export class SessionLink {
  bytesReceived = 0;
  bytesSent = 0;
  readonly core: SessionCore;
  readonly isInitiator: boolean;
  lastActivityAt: number;
  readonly #incoming = new Map<CallNumber, IncomingCallRecord>();
  #isFlushScheduled = false;
  readonly #outgoing = new Map<CallNumber, OutgoingCallRecord>();
  readonly #owner: SessionLinkOwner;
  readonly #socket: Socket;

  constructor(
    core: SessionCore,
    socket: Socket,
    isInitiator: boolean,
    owner: SessionLinkOwner,
  ) {
    this.core = core;
    this.isInitiator = isInitiator;
    this.lastActivityAt = owner.clock();
    this.#owner = owner;
    this.#socket = socket;
    this.#registerSocket();
  }

  /** Returns the calls that arrived on this session. */
  getIncoming(): ReadonlyMap<CallNumber, IncomingCallRecord> {
    return this.#incoming;
  }

  /** Returns the calls that this daemon opened on this session. */
  getOutgoing(): ReadonlyMap<CallNumber, OutgoingCallRecord> {
    return this.#outgoing;
  }

  /** Returns the peer as the source of messages, once it is authenticated. */
  getSource(): MessageSource | undefined {
    const peer = this.core.getPeer();
    if (peer === undefined) {
      return undefined;
    }
    const {address, name} = peer;
    const host = isWildcardHost(address.host)
      ? (this.#socket.remoteAddress ?? address.host)
      : address.host;
    return {address: {host, port: address.port}, daemon: name};
  }

  /** Returns the bytes that are queued and not yet written to the connection. */
  getUnwrittenBytes(): number {
    return this.core.getPendingBytes() + this.#socket.writableLength;
  }

  /** Returns whether this end opened the session and it was idle this long. */
  isIdle(now: Milliseconds, idleMilliseconds: Milliseconds): boolean {
    return (
      this.isInitiator &&
      now - this.lastActivityAt >= idleMilliseconds &&
      this.core.outgoing.getCount() + this.core.incoming.getCount() === 0
    );
  }

  /** Adds bytes to a request body; false if the caller must wait. */
  addRequestBytes(callNumber: CallNumber, bytes: Uint8Array): boolean {
    this.core.outgoing.addRequestBytes(callNumber, bytes);
    this.#scheduleFlush();
    return this.core.outgoing.isWritable(callNumber);
  }

  /** Sends the answer of a record to a call on this session. */
  attachIncoming(
    callNumber: CallNumber,
    record: IncomingCallRecord,
    isHeadSent: boolean,
  ): void {
    this.#incoming.set(callNumber, record);
    record.attach(this, callNumber);
    this.core.incoming.attach(callNumber, record.answer, isHeadSent);
    this.#scheduleFlush();
  }

  cancelCall(callNumber: CallNumber): void {
    this.#outgoing.delete(callNumber);
    this.core.outgoing.cancel(callNumber);
    this.#scheduleFlush();
  }

  /** Closes the session from this end. */
  close(failure: Failure): void {
    this.applyEffects(this.core.abort(failure));
  }

  consumeAnswer(callNumber: CallNumber, byteCount: number): void {
    this.core.outgoing.consume(callNumber, byteCount);
    this.#scheduleFlush();
  }

  consumeRequest(callNumber: CallNumber, byteCount: number): void {
    this.core.incoming.consume(callNumber, byteCount);
    this.#scheduleFlush();
  }

  endRequest(callNumber: CallNumber): void {
    this.core.outgoing.endRequest(callNumber);
    this.#scheduleFlush();
  }

  /** Fails the outgoing calls after the session has closed. */
  failOutgoing(failure: Failure): void {
    for (const [callNumber, record] of this.#outgoing) {
      const isUnsent = this.core.outgoing.isUnsent(callNumber);
      record.fail(failure, isUnsent ? 'notSent' : 'lost');
    }
  }

  /** Flushes now if a flush is scheduled. */
  flushIfScheduled(): void {
    if (this.#isFlushScheduled) {
      this.#flush();
    }
  }

  recordAnswerBytes(callNumber: CallNumber, byteCount: number): void {
    this.core.incoming.recordAnswerBytes(callNumber, byteCount);
    this.#scheduleFlush();
  }

  /** Opens a call or resolves a lost attempt. */
  open(record: OutgoingCallRecord): void {
    const now = this.#owner.clock();
    const callNumber = this.core.outgoing.getNextCallNumber();
    const {operation} = record;
    this.lastActivityAt = now;
    if (operation.kind === 'call') {
      const waitedMilliseconds = now - record.createdAt;
      this.core.outgoing.open(
        shortenDeadline(operation.head, waitedMilliseconds),
      );
    } else {
      const ageMilliseconds = now - record.getSentAt();
      const query = {...operation.query, ageMilliseconds};
      this.core.outgoing.resolve(query, operation.progress);
    }
    this.#outgoing.set(callNumber, record);
    record.attach(this, callNumber);
    this.#scheduleFlush();
  }

  /** Applies effects of the core. */
  applyEffects(effects: readonly SessionEffect[]): void {
    for (const effect of effects) {
      this.#applyEffect(effect);
    }
  }

  /** Sends a packet; false if the session cannot accept it now. */
  sendPacket(bytes: Uint8Array): boolean {
    this.lastActivityAt = this.#owner.clock();
    this.#scheduleFlush();
    return (
      this.#socket.writableLength <= MAXIMUM_SOCKET_BACKLOG_BYTES &&
      this.core.sendPacket(bytes)
    );
  }

  /** Sends a message; false if it is too long or too many bytes are queued. */
  sendMessage(channel: ChannelName, message: unknown): boolean {
    this.lastActivityAt = this.#owner.clock();
    this.#scheduleFlush();
    const pendingBytes = this.core.getPendingBytes();
    const isSent =
      this.#socket.writableLength <= MAXIMUM_SOCKET_BACKLOG_BYTES &&
      this.core.sendMessage(channel, message);
    if (isSent) {
      const byteCount = this.core.getPendingBytes() - pendingBytes;
      this.#owner.onSent(this, `${channel}Message`, byteCount);
    }
    return isSent;
  }

  #handleClosed(failure: Failure): void {
    this.#socket.end();
    const timer = setTimeout(() => {
      this.#socket.destroy();
    }, CLOSE_DELAY_MILLISECONDS);
    timer.unref();
    this.#owner.onClosed(this, failure);
    this.#incoming.clear();
    this.#outgoing.clear();
  }

  #flush(): void {
    this.#isFlushScheduled = false;
    const budget = SOCKET_HIGH_WATER_BYTES - this.#socket.writableLength;
    this.applyEffects(this.core.flush(budget));
  }

  #registerSocket(): void {
    const socket = this.#socket;
    const closeWith = (detail: string) => {
      this.close(createFailure('sessionClosed', detail));
    };
    socket.setNoDelay(true);
    socket.on('data', (bytes) => {
      this.bytesReceived += bytes.length;
      this.applyEffects(this.core.receive(bytes));
      if (this.core.hasOutput()) {
        this.#scheduleFlush();
      }
    });
    socket.on('drain', () => {
      this.#scheduleFlush();
    });
    socket.on('end', () => {
      closeWith('ended by the other end');
    });
    socket.on('error', (error) => {
      closeWith(error.message);
    });
    socket.on('close', () => {
      closeWith('closed');
    });
  }

  #applyIncomingEffect(record: IncomingCallRecord, effect: CallEffect): void {
    switch (effect.kind) {
      case 'answerAcknowledged':
        this.#incoming.delete(effect.callNumber);
        this.#owner.onAcknowledged(record);
        break;
      case 'cancelled':
        this.#incoming.delete(effect.callNumber);
        this.#owner.onCancelled(record, effect.failure);
        break;
      case 'requestBody':
        record.deliver((handlers) => {
          handlers.onBody(effect.body);
        });
        break;
      case 'requestEnd':
        record.deliver((handlers) => {
          handlers.onEnd();
        });
        break;
      case 'writable':
        record.deliver((handlers) => {
          handlers.onWritable?.();
        });
        break;
      default:
        break;
    }
  }

  #applyCallEffect(effect: CallEffect): void {
    const incoming = this.#incoming.get(effect.callNumber);
    if (incoming !== undefined) {
      this.#applyIncomingEffect(incoming, effect);
      return;
    }
    const outgoing = this.#outgoing.get(effect.callNumber);
    if (outgoing !== undefined) {
      outgoing.handleEffect(effect);
      if (outgoing.isFinished()) {
        this.#outgoing.delete(effect.callNumber);
      }
    }
  }

  #applyEffect(effect: SessionEffect): void {
    switch (effect.kind) {
      case 'callReceived':
        this.#handleCall(effect.callNumber, effect.head);
        break;
      case 'closed':
        this.#handleClosed(effect.failure);
        break;
      case 'established':
        this.#owner.onEstablished(this, effect.peer);
        break;
      case 'message':
        this.lastActivityAt = this.#owner.clock();
        this.#owner.onMessage(this, effect.channel, effect.message);
        break;
      case 'packet':
        this.lastActivityAt = this.#owner.clock();
        this.#owner.onPacket(this, effect.bytes);
        break;
      case 'resolveReceived':
        this.#handleResolve(effect.query);
        break;
      case 'send':
        this.#send(effect.chunks);
        break;
      default:
        this.#applyCallEffect(effect);
    }
  }

  #handleCall(callNumber: CallNumber, head: CallHead): void {
    this.lastActivityAt = this.#owner.clock();
    const record = this.#owner.onCall(this, head);
    if (record !== undefined) {
      this.attachIncoming(callNumber, record, false);
    }
  }

  #handleResolve(query: FrameFields['resolve']): void {
    const record = this.#owner.onResolve(this, query);
    if (record !== undefined) {
      this.attachIncoming(query.callNumber, record, query.hasHead);
    }
  }

  #scheduleFlush(): void {
    if (!this.#isFlushScheduled) {
      this.#isFlushScheduled = true;
      setImmediate(() => {
        this.flushIfScheduled();
      });
    }
  }

  #send(chunks: readonly Uint8Array[]): void {
    if (!this.#socket.writable) {
      return;
    }
    const joined = joinSmallChunks(chunks);
    // Corking costs more than it saves for one chunk, as most frames make.
    const isCorked = joined.length > 1;
    if (isCorked) {
      this.#socket.cork();
    }
    let byteCount = 0;
    for (const chunk of joined) {
      byteCount += chunk.length;
      this.#socket.write(chunk);
    }
    this.bytesSent += byteCount;
    this.#owner.onSent(this, 'session', byteCount);
    if (isCorked) {
      this.#socket.uncork();
    }
  }
}
