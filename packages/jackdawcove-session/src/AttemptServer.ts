/** Server side of all sessions: incoming calls, resolve queries, held answers. */

import type {FrameFields} from './FrameSchemas.js';
import type {SessionLink} from './SessionLink.js';
import type {CallHead} from './SessionSchemas.js';
import type {
  DaemonIdentity,
  IncomingCall,
  MessageSource,
  SessionLimits,
  SessionSwitches,
} from './SessionTypes.js';
import type {Failure, MonotonicClock, Teardown} from 'jackdawcove-shared';

import {createFailure, invariant} from 'jackdawcove-shared';

import {AttemptRegistry} from './AttemptRegistry.js';
import {IncomingCallRecord} from './IncomingCallRecord.js';

/** Listener for calls from other daemons. */
export type CallListener = (incoming: IncomingCall) => void;

/** Options of the server side. */
export type AttemptServerOptions = {
  readonly clock: MonotonicClock;
  readonly getSource: (link: SessionLink) => MessageSource | undefined;
  readonly limits: SessionLimits;
  readonly self: DaemonIdentity;
  readonly switches: SessionSwitches;
};

/** Accepts each attempt once and answers resolve queries on a new session. */
export class AttemptServer {
  readonly #detached = new Set<IncomingCallRecord>();
  #listener: CallListener | undefined;
  readonly #options: AttemptServerOptions;
  readonly #registry: AttemptRegistry<IncomingCallRecord>;

  constructor(options: AttemptServerOptions) {
    this.#options = options;
    this.#registry = new AttemptRegistry({
      fencesAttempts: options.switches.fencesAttempts,
      incarnation: options.self.incarnation,
      limits: options.limits,
    });
  }

  /** Returns the number of held answers. */
  getHeldAnswerCount(): number {
    return this.#registry.getCounts().heldAnswers;
  }

  /** Drops the answer of a call, because its caller has received it. */
  acknowledge(record: IncomingCallRecord): void {
    if (record.isRegistered()) {
      this.#registry.acknowledge(record.head.attemptIdentifier);
    }
  }

  /** Cancels a call and drops its answer. */
  cancel(record: IncomingCallRecord, failure: Failure): void {
    this.#detached.delete(record);
    record.cancel(failure);
    this.#finish(record);
    this.acknowledge(record);
  }

  /** Detaches the calls of a closed session; cancels incomplete requests. */
  handleClosed(link: SessionLink): void {
    const now = this.#options.clock();
    for (const [callNumber, record] of link.getIncoming()) {
      if (
        link.core.incoming.isRequestEnded(callNumber) ||
        record.isFinished()
      ) {
        record.detach(now);
        this.#detached.add(record);
      } else {
        this.cancel(record, createFailure('sessionClosed', 'request cut'));
      }
    }
  }

  /** Accepts a call; refuses a fenced attempt and fails a duplicate. */
  handleCall(
    link: SessionLink,
    head: CallHead,
  ): IncomingCallRecord | undefined {
    const source = this.#options.getSource(link);
    if (source === undefined) {
      return undefined;
    }
    const now = this.#options.clock();
    let isRegistered = false;
    const record = this.#createRecord(head, source, () => isRegistered);
    const arrival = this.#registry.registerArrival(
      head.attemptIdentifier,
      source.daemon,
      record,
      now,
    );
    isRegistered = arrival === 'accepted';
    if (isRegistered) {
      this.#accept(record);
    } else if (arrival === 'fenced') {
      record.refuse(createFailure('fenced'), undefined, 0);
    } else {
      record.fail(createFailure('outcomeUnknown', 'attempt arrived twice'));
    }
    return record;
  }

  /** Answers a resolve query; a returned record continues on the new session. */
  handleResolve(
    link: SessionLink,
    query: FrameFields['resolve'],
  ): IncomingCallRecord | undefined {
    const source = this.#options.getSource(link);
    if (source === undefined) {
      return undefined;
    }
    const now = this.#options.clock();
    const resolved = this.#registry.resolve(source.daemon, query, now);
    const {resolution} = resolved;
    link.core.incoming.sendResolution({
      callNumber: query.callNumber,
      resolution,
    });
    if (!('holder' in resolved)) {
      return undefined;
    }
    this.#detached.delete(resolved.holder);
    return resolved.holder;
  }

  /** Registers the listener for calls; only one is allowed. */
  registerListener(listener: CallListener): Teardown {
    invariant(this.#listener === undefined, 8, 'calls');
    this.#listener = listener;
    return () => {
      this.#listener = undefined;
    };
  }

  /** Advances time: detached calls are cancelled if no caller resolves them. */
  tick(): void {
    const now = this.#options.clock();
    const {heldAnswerMilliseconds} = this.#options.limits;
    this.#registry.expire(now);
    for (const record of this.#detached) {
      const {detachedAt} = record;
      if (detachedAt === undefined || record.isFinished()) {
        this.#detached.delete(record);
      } else if (now - detachedAt >= heldAnswerMilliseconds) {
        this.cancel(record, createFailure('sessionClosed', 'not asked for'));
      }
    }
  }

  #accept(record: IncomingCallRecord): void {
    if (this.#listener === undefined) {
      record.refuse(createFailure('daemonStarting'), undefined, 0);
    } else {
      this.#listener(record);
    }
  }

  #createRecord(
    head: CallHead,
    source: MessageSource,
    isRegistered: () => boolean,
  ): IncomingCallRecord {
    const {limits} = this.#options;
    return new IncomingCallRecord(head, source, limits.streamWindowBytes, {
      isRegistered,
      onFinished: (record) => {
        this.#finish(record);
      },
    });
  }

  #finish(record: IncomingCallRecord): void {
    if (record.isRegistered()) {
      const {attemptIdentifier} = record.head;
      this.#registry.finish(attemptIdentifier, this.#options.clock());
    }
  }
}
