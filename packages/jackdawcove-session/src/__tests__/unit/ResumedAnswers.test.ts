import type {AttemptQuery} from '../../AttemptRegistry.js';
import type {TestEndpoint} from '../utils/coreFixtures.js';

import fc from 'fast-check';
import t from 'tap';

import {AnswerSource} from '../../AnswerSource.js';
import {AttemptRegistry} from '../../AttemptRegistry.js';
import {DEFAULT_LIMITS} from '../../SessionConstants.js';
import {deliver, openSession, recordEffects} from '../utils/coreFixtures.js';
import {createHead} from '../utils/poolFixtures.js';

const SEED = 47;
const WINDOW_BYTES = 1_000;
const LIMITS = {streamWindowBytes: WINDOW_BYTES};
const ATTEMPT = 'attempt';

/** `cut` replaces the session; `lose` first drops the bytes in flight. */
type Step =
  | {readonly bytes: number; readonly kind: 'flush' | 'grant' | 'write'}
  | {readonly kind: 'cut' | 'lose'};

/** One answer that is resumed on a new session after each cut. */
class ResumedAnswer {
  readonly answer = new AnswerSource(WINDOW_BYTES);
  #acceptor: TestEndpoint;
  #callNumber: number;
  #heads = 0;
  #initiator: TestEndpoint;
  #received = Buffer.alloc(0);
  readonly #registry = new AttemptRegistry<ResumedAnswer>({
    fencesAttempts: true,
    incarnation: 1,
    limits: {...DEFAULT_LIMITS, ...LIMITS},
  });
  #sessions = 0;
  #ungranted = 0;
  #written = Buffer.alloc(0);

  constructor() {
    [this.#initiator, this.#acceptor] = this.#openSession();
    const {outgoing} = this.#initiator.core;
    this.#callNumber = outgoing.getNextCallNumber();
    outgoing.open(createHead(ATTEMPT));
    outgoing.endRequest(this.#callNumber);
    deliver(this.#initiator, this.#acceptor);
    this.#registry.registerArrival(ATTEMPT, 'initiator', this, 0);
    this.#acceptor.core.incoming.attach(this.#callNumber, this.answer, false);
    this.answer.setHead({
      executed: 'yes',
      headers: [],
      load: undefined,
      resultNumber: 0,
      status: 200,
    });
  }

  /** Returns whether the held bytes stay within their limit. */
  isBounded(): boolean {
    return this.answer.body.getHeldBytes() <= 3 * WINDOW_BYTES;
  }

  /** Returns whether the complete answer and its end arrived. */
  isComplete(): boolean {
    const last = this.#initiator.effects.at(-1);
    const isEnded = last?.kind === 'answerEnd' && this.#heads === 1;
    return isEnded && this.#received.equals(this.#written);
  }

  run(step: Step): void {
    switch (step.kind) {
      case 'cut':
        this.#resume();
        break;
      case 'flush':
        this.#transfer(step.bytes, true);
        break;
      case 'grant':
        this.#grant(step.bytes);
        break;
      case 'lose':
        this.#transfer(Number.MAX_SAFE_INTEGER, false);
        this.#resume();
        break;
      case 'write':
        this.#write(step.bytes);
        break;
    }
  }

  /** Ends the answer and transfers the rest. */
  finish(): void {
    this.answer.finish({
      kind: 'end',
      trailer: {load: undefined, tokensReturned: 0},
    });
    this.#registry.finish(ATTEMPT, 0);
    this.#resume();
    for (let round = 0; round < 20; round += 1) {
      this.#transfer(Number.MAX_SAFE_INTEGER, true);
      this.#grant(Number.MAX_SAFE_INTEGER);
    }
  }

  #grant(bytes: number): void {
    const granted = Math.min(bytes, this.#ungranted);
    this.#ungranted -= granted;
    this.#initiator.core.outgoing.consume(this.#callNumber, granted);
    deliver(this.#initiator, this.#acceptor);
  }

  #openSession(): readonly [TestEndpoint, TestEndpoint] {
    this.#sessions += 1;
    const nonceSeed = String(this.#sessions);
    const {acceptor, initiator} = openSession({limits: LIMITS, nonceSeed});
    return [initiator, acceptor];
  }

  #transfer(budget: number, isDelivered: boolean): void {
    const seen = this.#initiator.effects.length;
    recordEffects(this.#acceptor, this.#acceptor.core.flush(budget));
    for (const bytes of this.#acceptor.sent.splice(0)) {
      if (isDelivered) {
        recordEffects(this.#initiator, this.#initiator.core.receive(bytes));
      }
    }
    for (const effect of this.#initiator.effects.slice(seen)) {
      this.#heads += effect.kind === 'answerHead' ? 1 : 0;
      if (effect.kind === 'answerBody') {
        this.#received = Buffer.concat([this.#received, effect.body]);
        this.#ungranted += effect.body.length;
      }
    }
  }

  #resume(): void {
    const {outgoing} = this.#initiator.core;
    const progress = outgoing.getAnswerProgress(this.#callNumber);
    if (progress === undefined) {
      return;
    }
    const query: AttemptQuery = {
      ageMilliseconds: 0,
      attemptIdentifier: ATTEMPT,
      hasHead: this.#heads > 0,
      receivedBytes: progress.length,
      targetIncarnation: 1,
    };
    [this.#initiator, this.#acceptor] = this.#openSession();
    const {core} = this.#initiator;
    this.#callNumber = core.outgoing.getNextCallNumber();
    this.#ungranted = 0;
    core.outgoing.resolve(query, progress);
    deliver(this.#initiator, this.#acceptor);
    const {resolution} = this.#registry.resolve('initiator', query, 0);
    const {incoming} = this.#acceptor.core;
    incoming.sendResolution({callNumber: this.#callNumber, resolution});
    incoming.attach(this.#callNumber, this.answer, query.hasHead);
  }

  #write(bytes: number): void {
    if (this.answer.body.isWritable()) {
      const first = this.#written.length;
      const part = Buffer.from(
        Array.from({length: bytes}, (_, index) => (first + index) % 251),
      );
      this.#written = Buffer.concat([this.#written, part]);
      this.answer.body.add(part);
      this.#acceptor.core.incoming.recordAnswerBytes(this.#callNumber, bytes);
    }
  }
}

const STEPS = fc.array(
  fc.oneof(
    fc.record({
      bytes: fc.integer({max: WINDOW_BYTES, min: 1}),
      kind: fc.constantFrom('flush', 'grant', 'write'),
    }),
    fc.record({kind: fc.constantFrom('cut', 'lose')}),
  ),
  {maxLength: 60},
);

t.test('an answer that is resumed at any time arrives completely', async () => {
  fc.assert(
    fc.property(STEPS, (steps) => {
      const resumedAnswer = new ResumedAnswer();
      for (const step of steps) {
        resumedAnswer.run(step as Step);
        if (!resumedAnswer.isBounded()) {
          return false;
        }
      }
      resumedAnswer.finish();
      return resumedAnswer.isComplete();
    }),
    {numRuns: 500, seed: SEED},
  );
});
