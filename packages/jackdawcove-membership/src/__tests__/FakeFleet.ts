/** Simulates daemons in one process, with a fake network on virtual time. */

import type {
  BackendServerRecord,
  MembershipEffect,
  MembershipMessage,
} from '../index.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {
  Membership,
  membershipMessageSchema,
  TICK_INTERVAL_MS,
} from '../index.js';
import {estimateEncodedBytes} from '../MembershipMessages.js';

type Envelope = {
  readonly at: number;
  readonly from: number;
  readonly message: MembershipMessage;
  readonly to: number;
};

type Node = {
  /** Backend servers that earlier processes of the daemon published as draining. */
  readonly earlierBackendServers: BackendServerRecord[];
  incarnation: number;
  isPaused: boolean;
  isRunning: boolean;
  membership: Membership;
  readonly name: string;
  readonly zone: string;
};

/** Faults of the fake network. */
export type NetworkFaults = {
  readonly duplication: number;
  readonly loss: number;
  readonly maximumDelayMs: number;
};

/** Options of a simulated fleet. */
export type FakeFleetOptions = {
  readonly daemonCount: number;
  readonly faults?: NetworkFaults;
  readonly isSchemaChecked?: boolean;
  readonly seed: number;
  readonly zoneCount: number;
};

export const NO_FAULTS: NetworkFaults = {
  duplication: 0,
  loss: 0,
  maximumDelayMs: 2,
};

const HOST = '10.0.0.1';
const FIRST_INCARNATION = 100;
const FIRST_PORT = 10_000;
const SEED_COUNT = 3;
const ZONES_PER_REGION = 4;

/** Fleet of simulated daemons. */
export class FakeFleet {
  datagramBytes = 0;
  datagrams = 0;
  /** Datagrams that have no other purpose than gossip and carry none. */
  emptyGossipDatagrams = 0;
  readonly faults: NetworkFaults;
  maximumDatagramBytes = 0;
  messageBytes = 0;
  readonly nodes: Node[] = [];
  now = 0;
  readonly #inFlightByTime = new Map<number, Envelope[]>();
  readonly #isolatedZones = new Set<string>();
  readonly #isSchemaChecked: boolean;
  readonly #options: FakeFleetOptions;
  readonly #randomNumber: RandomNumber;

  constructor(options: FakeFleetOptions) {
    this.#options = options;
    this.faults = options.faults ?? NO_FAULTS;
    this.#isSchemaChecked = options.isSchemaChecked ?? true;
    this.#randomNumber = createSeededRandom(options.seed);
  }

  /** Starts a daemon whose seeds are the first daemons. */
  start(): Node {
    const index = this.nodes.length;
    const zone = `zone-${String(index % this.#options.zoneCount)}`;
    const node: Node = {
      earlierBackendServers: [],
      incarnation: FIRST_INCARNATION,
      isPaused: false,
      isRunning: true,
      membership: this.#createMembership(index, zone, FIRST_INCARNATION),
      name: `vm-${String(index)}`,
      zone,
    };
    this.nodes.push(node);
    this.#applyEffects(index, node.membership.join(this.now));
    return node;
  }

  /** Starts daemons up to the configured count. */
  startAll(): void {
    while (this.nodes.length < this.#options.daemonCount) {
      this.start();
    }
  }

  /** Restarts a daemon with empty state and the next incarnation. */
  restart(node: Node): void {
    const index = this.nodes.indexOf(node);
    node.incarnation += 1;
    node.isRunning = true;
    node.membership = this.#createMembership(
      index,
      node.zone,
      node.incarnation,
    );
    this.#applyEffects(index, node.membership.join(this.now));
  }

  /** Runs a command on the membership of a daemon. */
  command(
    node: Node,
    run: (membership: Membership) => readonly MembershipEffect[],
  ): void {
    this.#applyEffects(this.nodes.indexOf(node), run(node.membership));
  }

  isolateZone(zone: string): void {
    this.#isolatedZones.add(zone);
  }

  reconnectZone(zone: string): void {
    this.#isolatedZones.delete(zone);
  }

  /**
   * Advances the virtual time and returns the elapsed milliseconds. It stops
   * early when `isDone` returns true, which is checked every tick.
   */
  run(milliseconds: number, isDone: () => boolean = () => false): number {
    const startedAt = this.now;
    while (this.now < startedAt + milliseconds && !isDone()) {
      const end = this.now + TICK_INTERVAL_MS;
      while (this.now < end) {
        this.step();
      }
    }
    return this.now - startedAt;
  }

  /** Advances the virtual time by a millisecond. */
  step(): void {
    this.now += 1;
    this.#deliverDue();
    this.#tickDueNodes();
  }

  /** Checks whether every running daemon meets a condition. */
  isMetEverywhere(isMet: (node: Node) => boolean): boolean {
    return this.nodes.every((node) => !node.isRunning || isMet(node));
  }

  /** Checks whether every running daemon sees every running daemon as alive. */
  isConverged(): boolean {
    const running = this.nodes.filter(({isRunning}) => isRunning);
    return this.isMetEverywhere(({membership}) =>
      running.every(({incarnation, name}) => {
        const record = membership.getView().getDaemon(name);
        return record?.state === 'alive' && record.incarnation === incarnation;
      }),
    );
  }

  #createMembership(
    index: number,
    availabilityZone: string,
    incarnation: number,
  ): Membership {
    const zone = index % this.#options.zoneCount;
    const randomNumber = createSeededRandom(
      Math.floor(this.#randomNumber() * Number.MAX_SAFE_INTEGER),
    );
    return new Membership({
      local: {
        address: {host: HOST, port: FIRST_PORT + index},
        administrationAddress: {host: HOST, port: FIRST_PORT + index},
        availabilityZone,
        incarnation,
        isVoter: index < SEED_COUNT,
        name: `vm-${String(index)}`,
        region: `region-${String(Math.floor(zone / ZONES_PER_REGION))}`,
      },
      now: this.now,
      randomNumber,
      seeds: Array.from({length: SEED_COUNT}, (_, seed) => ({
        host: HOST,
        port: FIRST_PORT + seed,
      })),
    });
  }

  #tickDueNodes(): void {
    const phase = this.now % TICK_INTERVAL_MS;
    for (let i = phase; i < this.nodes.length; i += TICK_INTERVAL_MS) {
      const node = this.nodes[i];
      if (node?.isRunning === true && !node.isPaused) {
        this.#applyEffects(i, node.membership.tick(this.now));
      }
    }
  }

  #deliverDue(): void {
    const due = this.#inFlightByTime.get(this.now) ?? [];
    this.#inFlightByTime.delete(this.now);
    for (const {from, message, to} of due) {
      const target = this.nodes[to];
      const source = this.nodes[from];
      if (target?.isRunning !== true || source === undefined) {
        continue;
      }
      if (target.isPaused) {
        this.#schedule({at: this.now + 1, from, message, to});
        continue;
      }
      this.#applyEffects(
        to,
        target.membership.receive(
          message,
          {
            address: {host: HOST, port: FIRST_PORT + from},
            daemon: source.name,
          },
          this.now,
        ),
      );
    }
  }

  #applyEffects(from: number, effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'sendDatagram' || effect.kind === 'sendMessage') {
        this.#countBytes(effect);
        this.#send(from, effect.address.port - FIRST_PORT, effect.message);
      } else if (effect.kind === 'earlierBackendServer') {
        this.nodes[from]?.earlierBackendServers.push(effect.backendServer);
      }
    }
  }

  #countBytes(effect: MembershipEffect & {message: MembershipMessage}): void {
    const bytes = estimateEncodedBytes(effect.message);
    if (effect.kind === 'sendMessage') {
      this.messageBytes += bytes;
      return;
    }
    this.datagrams += 1;
    const {message} = effect;
    this.emptyGossipDatagrams += Number(
      message.kind === 'gossip' && message.gossip.length === 0,
    );
    this.datagramBytes += bytes;
    this.maximumDatagramBytes = Math.max(this.maximumDatagramBytes, bytes);
  }

  #send(from: number, to: number, message: MembershipMessage): void {
    const fromZone = this.nodes[from]?.zone ?? '';
    const toZone = this.nodes[to]?.zone ?? '';
    const isIsolated =
      fromZone !== toZone &&
      (this.#isolatedZones.has(fromZone) || this.#isolatedZones.has(toZone));
    const copies = this.#randomNumber() < this.faults.duplication ? 2 : 1;
    for (let i = 0; i < copies; i += 1) {
      const delay = 1 + this.#randomNumber() * this.faults.maximumDelayMs;
      if (!isIsolated && this.#randomNumber() >= this.faults.loss) {
        this.#schedule({
          at: this.now + Math.ceil(delay),
          from,
          message: this.#isSchemaChecked
            ? membershipMessageSchema.parse(message)
            : message,
          to,
        });
      }
    }
  }

  #schedule(envelope: Envelope): void {
    const envelopes = this.#inFlightByTime.get(envelope.at);
    if (envelopes === undefined) {
      this.#inFlightByTime.set(envelope.at, [envelope]);
    } else {
      envelopes.push(envelope);
    }
  }
}
