/** Call to the backend server on this daemon's VM, which needs no session. */

import type {
  AnswerHead,
  AnswerTrailer,
  CallHead,
  IncomingCall,
  IncomingCallHandlers,
  MessageSource,
  OutgoingCall,
  OutgoingCallHandlers,
} from 'jackdawcove-session';
import type {Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';

/** Bytes in flight in one direction at which the writer is asked to pause. */
const WINDOW_BYTES = 262_144;

/** Runs events in order and asynchronously, after the code that pushed them. */
class EventQueue {
  #isScheduled = false;
  readonly #events: (() => void)[] = [];

  push(event: () => void): void {
    this.#events.push(event);
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      queueMicrotask(() => {
        this.#run();
      });
    }
  }

  #run(): void {
    for (
      let event = this.#events.shift();
      event !== undefined;
      event = this.#events.shift()
    ) {
      event();
    }
    this.#isScheduled = false;
  }
}

/** Limits the bytes in flight in one direction. */
class FlowControlWindow {
  #bytesInFlight = 0;
  readonly #onWritable: () => void;
  #isPaused = false;

  constructor(onWritable: () => void) {
    this.#onWritable = onWritable;
  }

  add(byteCount: number): boolean {
    this.#bytesInFlight += byteCount;
    this.#isPaused = this.#bytesInFlight >= WINDOW_BYTES;
    return !this.#isPaused;
  }

  remove(byteCount: number): void {
    this.#bytesInFlight -= byteCount;
    if (this.#isPaused && this.#bytesInFlight < WINDOW_BYTES) {
      this.#isPaused = false;
      this.#onWritable();
    }
  }
}

/** Both sides of one call within this process. */
export class LocalCall {
  readonly incoming: IncomingCall;
  readonly outgoing: OutgoingCall;
  readonly #answerWindow: FlowControlWindow;
  readonly #events = new EventQueue();
  readonly #head: CallHead;
  readonly #outgoingHandlers: OutgoingCallHandlers;
  readonly #requestWindow: FlowControlWindow;
  #pendingEvents: ((handlers: IncomingCallHandlers) => void)[] = [];
  #incomingHandlers: IncomingCallHandlers | undefined;
  #isEnded = false;

  constructor(
    head: CallHead,
    source: MessageSource,
    handlers: OutgoingCallHandlers,
  ) {
    this.#head = head;
    this.#outgoingHandlers = handlers;
    this.#answerWindow = new FlowControlWindow(() => {
      this.#notifyServer(({onWritable}) => onWritable?.());
    });
    this.#requestWindow = new FlowControlWindow(() => {
      this.#notifyCaller(({onWritable}) => onWritable?.());
    });
    this.outgoing = this.#createOutgoing();
    this.incoming = this.#createIncoming(source);
  }

  #createOutgoing(): OutgoingCall {
    return {
      attemptIdentifier: this.#head.attemptIdentifier,
      cancel: () => {
        if (!this.#isEnded) {
          this.#isEnded = true;
          const failure = createFailure('cancelledWhileRunning');
          this.#notifyServer(({onCancel}) => {
            onCancel(failure);
          });
        }
      },
      end: () => {
        this.#notifyServer(({onEnd}) => {
          onEnd();
        });
      },
      grantCredit: (byteCount) => {
        this.#answerWindow.remove(byteCount);
      },
      write: (bytes) => {
        this.#notifyServer(({onBody}) => {
          onBody(bytes);
        });
        return this.#requestWindow.add(bytes.length);
      },
    };
  }

  #createIncoming(source: MessageSource): IncomingCall {
    return {
      accept: (handlers) => {
        this.#accept(handlers);
      },
      end: (trailer) => {
        this.#finish(({onEnd}) => {
          onEnd({checksum: 0, length: 0, ...trailer});
        });
      },
      fail: (failure, trailer) => {
        this.#fail(failure, trailer);
      },
      grantCredit: (byteCount) => {
        this.#requestWindow.remove(byteCount);
      },
      head: this.#head,
      refuse: (failure, load, retryAfterMilliseconds, tokensReturned) => {
        this.#finish(({onRefused}) => {
          onRefused({
            failure,
            load,
            retryAfterMilliseconds,
            tokensReturned: tokensReturned ?? this.#head.tokens,
          });
        });
      },
      sendHead: (head: AnswerHead) => {
        this.#notifyCaller(({onHead}) => {
          onHead(head);
        });
      },
      source,
      write: (bytes) => {
        this.#notifyCaller(({onBody}) => {
          onBody(bytes);
        });
        return this.#answerWindow.add(bytes.length);
      },
    };
  }

  #accept(handlers: IncomingCallHandlers): void {
    this.#incomingHandlers = handlers;
    const pendingEvents = this.#pendingEvents;
    this.#pendingEvents = [];
    for (const event of pendingEvents) {
      this.#events.push(() => {
        event(handlers);
      });
    }
  }

  #fail(failure: Failure, trailer: AnswerTrailer | undefined): void {
    this.#finish(({onFailure}) => {
      const tokensReturned = trailer?.tokensReturned ?? 0;
      onFailure({failure, kind: 'failed', tokensReturned});
    });
  }

  #finish(event: (handlers: OutgoingCallHandlers) => void): void {
    if (this.#isEnded) {
      return;
    }
    this.#notifyCaller(event);
    this.#events.push(() => {
      this.#isEnded = true;
    });
  }

  #notifyCaller(event: (handlers: OutgoingCallHandlers) => void): void {
    this.#events.push(() => {
      if (!this.#isEnded) {
        event(this.#outgoingHandlers);
      }
    });
  }

  #notifyServer(event: (handlers: IncomingCallHandlers) => void): void {
    const handlers = this.#incomingHandlers;
    if (handlers === undefined) {
      this.#pendingEvents.push(event);
      return;
    }
    this.#events.push(() => {
      event(handlers);
    });
  }
}
