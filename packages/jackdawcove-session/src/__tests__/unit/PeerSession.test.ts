import type {SessionLink} from '../../SessionLink.js';

import {createFailure, createSeededRandom} from 'jackdawcove-shared';
import t from 'tap';

import {OutgoingCallRecord} from '../../OutgoingCallRecord.js';
import {PeerSession} from '../../PeerSession.js';
import {DEFAULT_LIMITS} from '../../SessionConstants.js';
import {createHead, createOutcomeCollector} from '../utils/poolFixtures.js';

const SEED = 3;
const TICK_MILLISECONDS = 10;
const UNREACHABLE = createFailure('daemonUnreachable');

function createPeer() {
  const links: SessionLink[] = [];
  const dropped: number[] = [];
  const peer = new PeerSession({
    connect: () => {
      const link = {close: () => undefined} as unknown as SessionLink;
      links.push(link);
      return link;
    },
    limits: DEFAULT_LIMITS,
    onMessageDropped: () => dropped.push(1),
    randomNumber: createSeededRandom(SEED),
  });
  return {dropped, links, peer};
}

function openCall(
  peer: PeerSession,
  now: number,
  kind: 'call' | 'resolve',
  outcomes: string[],
): void {
  const head = createHead('attempt');
  const query = {
    attemptIdentifier: 'attempt',
    hasHead: false,
    receivedBytes: 0,
    targetIncarnation: 1,
  };
  const progress = {checksum: 0, length: 0};
  const record = new OutgoingCallRecord(
    'attempt',
    kind === 'call' ? {head, kind} : {kind, progress, query, sentAt: now},
    createOutcomeCollector(({failure, kind: outcome, resolutions}) =>
      outcomes.push(failure?.failure.result ?? resolutions[0] ?? outcome),
    ),
    {createdAt: now, expiresAt: now + 3_000},
  );
  peer.openCall(record, now);
}

t.test('reconnecting backs off up to the maximum', async (t) => {
  const {links, peer} = createPeer();
  const times: number[] = [];
  for (let now = 0; now < 20_000; now += TICK_MILLISECONDS) {
    const before = links.length;
    peer.sendMessage('ledger', 'opens', now);
    const link = links[before];
    if (link !== undefined) {
      times.push(now);
      peer.handleClosed(link, UNREACHABLE, now);
    }
  }
  const delays = times
    .slice(1)
    .map((time, index) => time - (times[index] ?? 0));
  t.ok(
    (delays[0] ?? 0) >= 25 && (delays[0] ?? 0) <= 60,
    'starts near the minimum',
  );
  t.ok((delays[3] ?? 0) > (delays[0] ?? 0), 'grows');
  t.ok(Math.max(...delays) <= 2_000 + TICK_MILLISECONDS, 'is bounded');
  t.ok(times.length < 30, `${String(times.length)} connections in 20 s`);
  t.ok(new Set(delays.slice(-5)).size > 1, 'is jittered');
});

t.test('during the backoff calls fail and resolve queries wait', async (t) => {
  const {dropped, links, peer} = createPeer();
  const outcomes: string[] = [];
  openCall(peer, 0, 'call', outcomes);
  openCall(peer, 0, 'resolve', outcomes);
  const [link] = links;
  t.ok(link);
  if (link !== undefined) {
    peer.handleClosed(link, UNREACHABLE, 10);
  }
  t.strictSame(outcomes, ['daemonUnreachable'], 'the waiting call fails');
  openCall(peer, 11, 'call', outcomes);
  t.equal(outcomes.length, 1, 'no handler runs before openCall returns');
  await Promise.resolve();
  t.strictSame(outcomes, ['daemonUnreachable', 'daemonUnreachable']);
  peer.sendMessage('ledger', 'dropped', 12);
  t.equal(dropped.length, 1);
  peer.tick(100);
  t.equal(links.length, 2, 'the resolve query reconnects');
  peer.tick(3_000);
  t.equal(outcomes.at(-1), 'unknown', 'the resolve query times out');
  t.ok(links.length === 2);
});

t.test('a superseded connect waits for the session of the peer', async (t) => {
  const {links, peer} = createPeer();
  const outcomes: string[] = [];
  openCall(peer, 0, 'call', outcomes);
  const [link] = links;
  if (link !== undefined) {
    peer.handleClosed(link, createFailure('sessionSuperseded'), 10);
  }
  peer.tick(900);
  t.strictSame(outcomes, [], 'waits');
  t.equal(links.length, 1, 'does not connect while it waits');
  peer.tick(1_010);
  t.strictSame(
    outcomes,
    ['daemonUnreachable'],
    'fails after the connect timeout',
  );
});
