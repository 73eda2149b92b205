/** Tests orders that reach the process after the one that they were sent to. */

import type {RelayBenchDaemon} from '../fixtures/RelayBench.js';
import type {FailureReason, RelayPacket} from 'jackdawcove-relay';

import t from 'tap';

import {
  DEADLINE_GRACE_MILLISECONDS,
  SESSION_LOSS_GRACE_MILLISECONDS,
} from '../../relay/RelayConstants.js';
import {RelayBench, waitUntil} from '../fixtures/RelayBench.js';
import {
  createScriptedDaemon,
  IDLE_LOAD,
  listenToPackets,
  OFFER,
} from '../fixtures/scriptedDaemon.js';

/** What comes before the offer that was read late is handled. */
const ENDS: readonly {
  readonly end: (asked: RelayBenchDaemon) => void;
  readonly name: string;
}[] = [
  {
    end: ({server}) => {
      server.handleCancel(
        {attempt: OFFER.attempt, callerIncarnation: 1, kind: 'cancel'},
        'client',
      );
    },
    name: 'its cancellation',
  },
  {
    end: (asked) => {
      asked.elapsedMilliseconds +=
        OFFER.remainingMilliseconds + DEADLINE_GRACE_MILLISECONDS + 1;
      asked.server.tick();
    },
    name: 'its deadline',
  },
  {
    end: (asked) => {
      asked.server.handleSessionLost('client');
      asked.elapsedMilliseconds += SESSION_LOSS_GRACE_MILLISECONDS + 1;
      asked.server.tick();
    },
    name: 'the loss of the session',
  },
  {
    end: ({server}) => {
      server.drain();
    },
    name: 'a stop of the daemon',
  },
];

// Guards against orders that have run and are answered as not run, because the process
// after the one that ran them ends a resent offer before it looks whose it is (review/6).
for (const {end, name} of ENDS) {
  t.test(`a resent order that may have run stays so: ${name}`, async (t) => {
    const bench = new RelayBench();
    t.teardown(() => {
      bench.stop();
    });
    const asked = bench.createDaemon('asked', 2);
    await asked.announce(4);
    const received: RelayPacket[] = [];
    listenToPackets(bench.network.createPool('client', 1), (packet) => {
      received.push(packet);
    });
    asked.server.handleOffer({...OFFER, isResent: true}, 'client');
    end(asked);
    await waitUntil(() => received.length > 0);
    t.match(received, [{kind: 'failure', mayHaveRun: true}]);
    t.strictSame(asked.heads, [], 'it does not run again');
  });
}

const CANDIDATE = {
  availabilityZone: 'a',
  daemon: 'asked',
  daemonIncarnation: 1,
  incarnation: 1,
  instance: 'i-asked',
  slots: 4,
};

/** What a process answers that compares no offer with itself before it ends it. */
const STATED: readonly {
  readonly isExpired?: boolean;
  readonly reason: FailureReason;
}[] = [
  {isExpired: true, reason: 'cancelled'},
  {reason: 'cancelled'},
  {reason: 'expired'},
  {reason: 'full'},
  {reason: 'overBudget'},
  {reason: 'quarantined'},
  {reason: 'refused'},
];

// Guards against the same refusals beside daemons of versions that make them (review/6).
for (const {isExpired = false, reason} of STATED) {
  const when = isExpired ? 'at its deadline' : 'before its deadline';
  t.test(
    `the process after the one that got an order does not state that it has not run: ${reason} ${when}`,
    async (t) => {
      const bench = new RelayBench();
      t.teardown(() => {
        bench.stop();
      });
      bench.listCandidates = () => [CANDIDATE];
      const first = createScriptedDaemon(bench, 'asked', 1);
      const client = bench.createDaemon('client');
      const {answer} = bench.sendRequest(client, {
        isIdempotent: false,
        timeoutMilliseconds: isExpired ? 300 : 5_000,
      });
      await waitUntil(() => first.offers.length === 1);
      bench.network.closeSession('client', 'asked');
      const second = createScriptedDaemon(bench, 'asked', 2);
      bench.network.openSession('client', 'asked');
      await waitUntil(() => second.offers.length === 1);
      if (isExpired) {
        await waitUntil(() => second.cancels.length === 1);
      }
      second.send({
        attempt: second.offers[0]?.attempt ?? 0,
        kind: 'failure',
        load: IDLE_LOAD,
        mayHaveRun: false,
        reason,
      });
      t.match(await answer, {executed: 'unknown'});
      t.equal(second.offers.length, 1, 'it is not sent again');
    },
  );
}
