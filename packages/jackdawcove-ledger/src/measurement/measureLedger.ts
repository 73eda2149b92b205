/**
 * Measures the ledger in one process: CPU time and message bytes per claim,
 * memory per record, planning time, and the time without a grant after members
 * are lost.
 *
 * Run: `node --expose-gc packages/jackdawcove-ledger/dist/measurement/measureLedger.js`
 */

import type {LedgerMessage} from '../index.js';

import {writeSync} from 'node:fs';

import {encode} from 'cbor-x';
import {createSeededRandom, digestHex} from 'jackdawcove-shared';

import {LedgerFleet} from '../__tests__/LedgerFleet.js';
import {LedgerNode} from '../__tests__/LedgerNode.js';
import {
  encodeLedgerMessage,
  mintIdempotencyKey,
  parseIdempotencyKey,
  planLedgerAssignments,
} from '../index.js';
import {EMPTY_LEDGER_ASSIGNMENTS} from '../LedgerAssignments.js';
import {EPOCH_GUARD_MS, SLICES_PER_ZONE} from '../LedgerConstants.js';
import {LedgerRecords} from '../LedgerRecords.js';

const ZONE = 'erie-dock';
const MEMBERS = ['vm-1', 'vm-2', 'vm-3'];
const CLAIMANT = 'vm-4';
const CLAIMS_PER_RUN = 20_000;
const CLAIM_COUNTS = [25_000, 50_000, 100_000];
const INCARNATION = 1_700_000_000_000;
const ZONE_COUNT = 8;
const DAEMON_COUNT = 650;
const PLAN_COUNT = 20;
const COMPLETION_BATCH = 10;
const FINGERPRINT_LENGTH = 16;
const RECORD_COUNT = 100_000;
const PERCENT = 100;
const NANOSECONDS_PER_MICROSECOND = 1_000;
const STANDARD_OUTPUT = 1;
const ATTEMPT_INTERVAL_MS = 20;
const OBSERVATION_MS = 20_000;
const SETTLING_MS = 5_000;
const BYTES_PER_ANSWER = 0;

function print(line: string): void {
  writeSync(STANDARD_OUTPUT, `${line}\n`);
}

function getHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/**
 * Three members and a claimant that exchange messages in memory without delay.
 */
class InProcessGroup {
  bytesByKind = new Map<LedgerMessage['kind'], number>();
  readonly claimant: LedgerNode;
  isCounting = false;
  now = 0;
  readonly #nodes = new Map<string, LedgerNode>();
  #queue: (() => void)[] = [];
  readonly #randomNumber = createSeededRandom(1);

  constructor() {
    for (const name of [...MEMBERS, CLAIMANT]) {
      this.#nodes.set(name, this.#createNode(name));
    }
    const claimant = this.#nodes.get(CLAIMANT);
    if (claimant === undefined) {
      throw new Error('claimant node was not created');
    }
    this.claimant = claimant;
    this.#assign();
    this.now += 2 * EPOCH_GUARD_MS;
  }

  claimAndComplete(): number {
    const key = mintIdempotencyKey(
      ZONE,
      this.claimant.getWallTime(),
      this.#randomNumber,
    );
    const startedAt = process.hrtime.bigint();
    let grantedAt = startedAt;
    this.claimant.claim(key, 'digest of the content', ({kind}) => {
      grantedAt = process.hrtime.bigint();
      if (kind !== 'granted') {
        throw new Error(kind);
      }
    });
    this.#drain();
    this.claimant.complete(key, 'answered', 'x'.repeat(BYTES_PER_ANSWER));
    return Number(grantedAt - startedAt) / NANOSECONDS_PER_MICROSECOND;
  }

  tick(): void {
    this.claimant.tick();
    this.#drain();
  }

  #assign(): void {
    const presence = new Map(
      [...this.#nodes.keys()].map((name) => [
        name,
        {incarnation: INCARNATION, isReachable: true},
      ]),
    );
    const assignments = planLedgerAssignments({
      availabilityZones: [ZONE],
      candidates: MEMBERS.map((name) => ({
        availabilityZone: ZONE,
        hasLeft: false,
        incarnation: INCARNATION,
        isDraining: false,
        isReachable: true,
        ledgerGeneration: 0,
        name,
      })),
      now: this.claimant.getWallTime(),
      previous: EMPTY_LEDGER_ASSIGNMENTS,
      slicesPerZone: 1,
    });
    for (const node of this.#nodes.values()) {
      node.presence = presence;
      node.adopt(assignments);
    }
  }

  #createNode(name: string): LedgerNode {
    return new LedgerNode({
      clockOffsetMs: 0,
      firstIncarnation: INCARNATION,
      getNow: () => this.now,
      injectedBugs: {},
      name,
      send: (from, to, message) => {
        this.#count(message);
        this.#queue.push(() => {
          this.#nodes.get(to)?.receive(message, from.name);
        });
      },
      zone: ZONE,
    });
  }

  #count(message: LedgerMessage): void {
    if (this.isCounting) {
      const {kind} = message;
      const bytes =
        (this.bytesByKind.get(kind) ?? 0) +
        encode(encodeLedgerMessage(message)).byteLength;
      this.bytesByKind.set(kind, bytes);
    }
  }

  #drain(): void {
    for (const deliver of this.#queue) {
      deliver();
    }
    this.#queue = [];
  }
}

function measureClaims(): void {
  const group = new InProcessGroup();
  for (let i = 0; i < CLAIMS_PER_RUN; i += 1) {
    group.claimAndComplete();
  }
  group.tick();
  const times: number[] = [];
  const cpuUsageAtStart = process.cpuUsage();
  for (let i = 0; i < CLAIMS_PER_RUN; i += 1) {
    times.push(group.claimAndComplete());
    if (i % COMPLETION_BATCH === 0) {
      group.tick();
    }
  }
  const {system, user} = process.cpuUsage(cpuUsageAtStart);
  times.sort((left, right) => left - right);
  const percentile = (percent: number): string =>
    (times[Math.floor((times.length * percent) / PERCENT)] ?? 0).toFixed(1);
  const microsecondsPerClaim = (system + user) / CLAIMS_PER_RUN;
  print(
    `claim, one claimant and three members: ${microsecondsPerClaim.toFixed(1)} µs of processor time, decision p50 ${percentile(50)} µs, p99 ${percentile(99)} µs without the network`,
  );
}

function measureBytes(): void {
  const group = new InProcessGroup();
  group.isCounting = true;
  for (let i = 0; i < COMPLETION_BATCH; i += 1) {
    group.claimAndComplete();
  }
  group.tick();
  for (const [kind, bytes] of group.bytesByKind) {
    print(
      `${kind}: ${(bytes / COMPLETION_BATCH).toFixed(0)} B a claim, all members together`,
    );
  }
}

function measureRecords(): void {
  const randomNumber = createSeededRandom(2);
  const heap = getHeapBytes();
  const records = new LedgerRecords();
  for (let i = 0; i < RECORD_COUNT; i += 1) {
    const key = mintIdempotencyKey(ZONE, i, randomNumber);
    records.setClaims(parseIdempotencyKey(key)?.identifier ?? '', [
      {
        fingerprint: digestHex(key).slice(0, FINGERPRINT_LENGTH),
        incarnation: INCARNATION,
        owner: CLAIMANT,
        sequence: i,
        state: 'ran',
      },
    ]);
  }
  const bytes = (getHeapBytes() - heap) / records.getSize();
  print(`record of a member: ${bytes.toFixed(0)} B`);
}

function measureMemory(): void {
  const group = new InProcessGroup();
  let claimCount = 0;
  let heap = getHeapBytes();
  for (const count of CLAIM_COUNTS) {
    const added = count - claimCount;
    for (; claimCount < count; claimCount += 1) {
      group.claimAndComplete();
      if (claimCount % COMPLETION_BATCH === 0) {
        group.tick();
      }
    }
    const next = getHeapBytes();
    print(
      `${String(count)} claims: ${((next - heap) / added).toFixed(0)} B a claim for three member records, one claimant entry and an empty answer`,
    );
    heap = next;
  }
}

/**
 * Returns the longest time without a grant, in milliseconds, when a new key is
 * claimed every 20 ms.
 */
function measureGrantGap(lostCount: number): number {
  const fleet = new LedgerFleet({
    daemonsPerZone: 8,
    longDelayMs: 0,
    longDelayProbability: 0,
    lossProbability: 0,
    planIntervalMs: 1_000,
    presenceIntervalMs: 1_000,
    seed: 3,
    slicesPerZone: 1,
    zoneCount: 1,
  });
  fleet.events.run(SETTLING_MS);
  const victims = fleet.pickGroupMembers(lostCount);
  const claimant = fleet.nodes.find((node) => !victims.includes(node));
  let lastGrantAt = fleet.events.now;
  let gapMs = 0;
  for (const victim of victims) {
    fleet.crash(victim, OBSERVATION_MS / 10);
  }
  for (let i = 0; i < OBSERVATION_MS / ATTEMPT_INTERVAL_MS; i += 1) {
    const key = mintIdempotencyKey(
      claimant?.zone ?? ZONE,
      claimant?.getWallTime() ?? 0,
      fleet.randomNumber,
    );
    claimant?.claim(key, 'content', ({kind}) => {
      if (kind === 'granted') {
        gapMs = Math.max(gapMs, fleet.events.now - lastGrantAt);
        lastGrantAt = fleet.events.now;
        claimant.complete(key, 'answered', '');
      }
    });
    fleet.events.run(ATTEMPT_INTERVAL_MS);
  }
  return gapMs;
}

/**
 * Measures one plan for the target fleet, without changes and with a lost VM.
 */
function measurePlan(): void {
  const zones = Array.from(
    {length: ZONE_COUNT},
    (_, zone) => `zone-${String(zone)}`,
  );
  const candidates = Array.from({length: DAEMON_COUNT}, (_, index) => ({
    availabilityZone: zones[index % ZONE_COUNT] ?? ZONE,
    hasLeft: false,
    incarnation: INCARNATION,
    isDraining: false,
    isReachable: true,
    ledgerGeneration: 1,
    name: `vm-${String(index)}`,
  }));
  const input = {
    availabilityZones: zones,
    now: INCARNATION,
    slicesPerZone: SLICES_PER_ZONE,
  };
  const previous = planLedgerAssignments({
    ...input,
    candidates,
    previous: EMPTY_LEDGER_ASSIGNMENTS,
  });
  const [lostCandidate, ...others] = candidates;
  const cases = {
    'a VM is lost': [
      ...(lostCandidate === undefined
        ? []
        : [{...lostCandidate, isReachable: false}]),
      ...others,
    ],
    'nothing to do': candidates,
  };
  const groupCounts = new Map<string, number>();
  for (const {members} of previous.groups) {
    for (const {name} of members) {
      groupCounts.set(name, (groupCounts.get(name) ?? 0) + 1);
    }
  }
  print(
    `assignments of ${String(DAEMON_COUNT)} daemons: ${String(encode(previous).byteLength)} B, at most ${String(Math.max(...groupCounts.values()))} groups a daemon`,
  );
  for (const [name, currentCandidates] of Object.entries(cases)) {
    const startedAt = performance.now();
    for (let i = 0; i < PLAN_COUNT; i += 1) {
      planLedgerAssignments({
        ...input,
        candidates: currentCandidates,
        previous,
      });
    }
    const milliseconds = (performance.now() - startedAt) / PLAN_COUNT;
    print(`plan, ${name}: ${milliseconds.toFixed(2)} ms`);
  }
}

measurePlan();
measureClaims();
measureBytes();
measureRecords();
measureMemory();
for (const lostCount of [0, 1, 2, 3]) {
  print(
    `${String(lostCount)} of 3 members lost for 2 s: ${String(measureGrantGap(lostCount))} ms without a grant (one key tried every 20 ms)`,
  );
}
