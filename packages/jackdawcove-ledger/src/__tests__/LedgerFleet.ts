/**
 * Ledger nodes on a simulated network that loses, delays and duplicates
 * messages.
 */

import type {DaemonPresence, LedgerMessage} from '../index.js';
import type {InjectedLedgerBugs} from './LedgerNode.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom, pickRandom, shuffle} from 'jackdawcove-shared';

import {
  decodeLedgerMessage,
  EMPTY_LEDGER_ASSIGNMENTS,
  encodeLedgerMessage,
  LEDGER_TICK_INTERVAL_MS,
  planLedgerAssignments,
} from '../index.js';
import {EventQueue} from './EventQueue.js';
import {LedgerNode} from './LedgerNode.js';

/** Options of a LedgerFleet. */
export type LedgerFleetOptions = {
  readonly injectedBugs?: InjectedLedgerBugs;
  readonly daemonsPerZone: number;
  /** Maximum delay of a message that gets a long delay. */
  readonly longDelayMs: number;
  /** Probability that a message gets a long delay. */
  readonly longDelayProbability: number;
  readonly lossProbability: number;
  readonly planIntervalMs: number;
  readonly presenceIntervalMs: number;
  readonly seed: number;
  readonly slicesPerZone: number;
  readonly zoneCount: number;
};

const LEADER_ZONE = 'zone-0';
const MAXIMUM_CLOCK_OFFSET_MS = 500;
const SHORT_DELAY_MS = 20;
const MAXIMUM_DOWNTIME_MS = 8_000;
const DUPLICATION_PROBABILITY = 0.1;
const WIRE_CHECK_PROBABILITY = 0.05;
const HANDOVER_TIMEOUT_MS = 5_000;

/** A fleet of ledger nodes; a single planner replaces the voters. */
export class LedgerFleet {
  readonly events = new EventQueue();
  readonly nodes: LedgerNode[] = [];
  readonly randomNumber: RandomNumber;
  readonly zones: readonly string[];
  #assignments = EMPTY_LEDGER_ASSIGNMENTS;
  readonly #isolated = new Set<string>();
  readonly #options: LedgerFleetOptions;

  constructor(options: LedgerFleetOptions) {
    this.#options = options;
    this.randomNumber = createSeededRandom(options.seed);
    this.zones = Array.from(
      {length: options.zoneCount},
      (_, index) => `zone-${String(index)}`,
    );
    for (const zone of this.zones) {
      for (let i = 0; i < options.daemonsPerZone; i += 1) {
        this.nodes.push(this.#createNode(zone, `${zone}-vm-${String(i)}`));
      }
    }
    this.#plan();
    for (const node of this.nodes) {
      this.#refreshPresence(node);
      this.#tick(node);
    }
  }

  /** Stops a node immediately and restarts it after the given time. */
  crash(node: LedgerNode, downMs: number): void {
    node.stop();
    this.events.after(downMs, () => {
      if (!node.isRunning) {
        node.start();
      }
    });
  }

  pause(node: LedgerNode, milliseconds: number): void {
    node.isPaused = true;
    this.events.after(milliseconds, () => {
      node.resume();
    });
  }

  isolateZone(zone: string, milliseconds: number): void {
    this.#isolated.add(zone);
    this.events.after(milliseconds, () => {
      this.#isolated.delete(zone);
    });
  }

  /**
   * Shuts a node down gracefully: it drains, hands over its records, leaves and
   * restarts later.
   */
  leave(node: LedgerNode): void {
    node.isDraining = true;
    const startedAt = this.events.now;
    const leaveWhenReady = (): void => {
      if (!node.isRunning || !node.isDraining) {
        return;
      }
      const isTimedOut = this.events.now - startedAt > HANDOVER_TIMEOUT_MS;
      if (!isTimedOut && !this.#isHandedOver(node)) {
        this.events.after(this.#options.planIntervalMs, leaveWhenReady);
        return;
      }
      node.hasLeft = true;
      this.crash(node, MAXIMUM_DOWNTIME_MS * this.randomNumber());
    };
    leaveWhenReady();
  }

  pickNode(): LedgerNode | undefined {
    return pickRandom(this.nodes, this.randomNumber);
  }

  /** Returns up to `count` random members of one random ledger group. */
  pickGroupMembers(count: number): LedgerNode[] {
    const group = pickRandom(this.#assignments.groups, this.randomNumber);
    const names = shuffle(group?.members ?? [], this.randomNumber)
      .slice(0, count)
      .map(({name}) => name);
    return this.nodes.filter(({name}) => names.includes(name));
  }

  /** Returns the version of the current assignments. */
  getVersion(): number {
    return this.#assignments.version;
  }

  #createNode(zone: string, name: string): LedgerNode {
    return new LedgerNode({
      clockOffsetMs: Math.floor(
        (this.randomNumber() * 2 - 1) * MAXIMUM_CLOCK_OFFSET_MS,
      ),
      getNow: () => this.events.now,
      injectedBugs: this.#options.injectedBugs ?? {},
      name,
      send: (from, to, message) => {
        this.#send(from, to, message);
      },
      zone,
    });
  }

  #send(from: LedgerNode, to: string, message: LedgerMessage): void {
    const target = this.nodes.find(({name}) => name === to);
    if (target === undefined || this.#isPartitioned(from.zone, target.zone)) {
      return;
    }
    const isDuplicate = this.randomNumber() < DUPLICATION_PROBABILITY;
    for (let copy = 0; copy < (isDuplicate ? 2 : 1); copy += 1) {
      if (this.randomNumber() >= this.#options.lossProbability) {
        this.#deliverLater(from, target, this.#checkWireForm(message));
      }
    }
  }

  /**
   * Encodes and decodes a sample of the messages; all of them would take too
   * long.
   */
  #checkWireForm(message: LedgerMessage): LedgerMessage {
    if (this.randomNumber() >= WIRE_CHECK_PROBABILITY) {
      return message;
    }
    const decoded = decodeLedgerMessage(encodeLedgerMessage(message));
    if (decoded === undefined) {
      throw new Error(`undecodable: ${JSON.stringify(message)}`);
    }
    return decoded;
  }

  #deliverLater(
    from: LedgerNode,
    target: LedgerNode,
    message: LedgerMessage,
  ): void {
    const isLong = this.randomNumber() < this.#options.longDelayProbability;
    const maximumDelayMs = isLong ? this.#options.longDelayMs : SHORT_DELAY_MS;
    this.events.after(this.randomNumber() * maximumDelayMs, () => {
      target.bind(() => {
        target.receive(message, from.name);
      })();
    });
  }

  #tick(node: LedgerNode): void {
    this.events.after(LEDGER_TICK_INTERVAL_MS, () => {
      if (node.isRunning && !node.isPaused) {
        node.tick();
      }
      this.#tick(node);
    });
  }

  /**
   * Updates the presence and the assignments of a node after a random delay.
   */
  #refreshPresence(node: LedgerNode): void {
    const presence = this.#createPresence(node.zone, node.presence);
    const assignments = this.#assignments;
    const delay = this.randomNumber() * this.#options.presenceIntervalMs;
    this.events.after(delay, () => {
      node.presence = presence;
      const isPartitioned = this.#isPartitioned(node.zone, LEADER_ZONE);
      if (!isPartitioned && !node.isPaused && node.isRunning) {
        node.adopt(assignments);
      }
      this.#refreshPresence(node);
    });
  }

  #createPresence(
    zone: string,
    known: ReadonlyMap<string, DaemonPresence>,
  ): ReadonlyMap<string, DaemonPresence> {
    return new Map(
      this.nodes.map((node) => {
        const isReachable =
          node.isRunning &&
          !node.isPaused &&
          !this.#isPartitioned(zone, node.zone);
        const incarnation = isReachable
          ? node.incarnation
          : (known.get(node.name)?.incarnation ?? 1);
        return [node.name, {incarnation, isReachable}];
      }),
    );
  }

  /**
   * Plans from a delayed view of the nodes, as the leader of the voters does.
   */
  #plan(): void {
    const candidates = this.nodes.map((node) => ({
      availabilityZone: node.zone,
      hasLeft: node.hasLeft,
      incarnation: node.incarnation,
      isDraining: node.isDraining,
      isReachable:
        node.isRunning &&
        !node.isPaused &&
        !this.#isPartitioned(node.zone, LEADER_ZONE),
      ledgerGeneration: node.ledgerGeneration,
      name: node.name,
    }));
    const delay =
      this.#assignments.version === 0
        ? 0
        : this.randomNumber() * this.#options.planIntervalMs;
    this.events.after(delay, () => {
      this.#assignments = planLedgerAssignments({
        availabilityZones: this.zones,
        candidates,
        now: this.nodes[0]?.getWallTime() ?? 0,
        previous: this.#assignments,
        slicesPerZone: this.#options.slicesPerZone,
      });
      this.#plan();
    });
  }

  #isHandedOver(node: LedgerNode): boolean {
    return this.#assignments.groups.every(({continuing, generation, members}) =>
      members.every(
        ({name}) =>
          name !== node.name &&
          (continuing.includes(name) ||
            this.#getLedgerGeneration(name) >= generation),
      ),
    );
  }

  #getLedgerGeneration(name: string): number {
    const node = this.nodes.find((other) => other.name === name);
    return node?.ledgerGeneration ?? 0;
  }

  #isPartitioned(from: string, to: string): boolean {
    return from !== to && (this.#isolated.has(from) || this.#isolated.has(to));
  }
}
