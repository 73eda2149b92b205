/** Simulated fleet of RevisionSpread instances, reproducible by its seed. */

import type {SpreadEffect, SpreadMessage, SpreadRecord} from '../index.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {createSeededRandom} from 'jackdawcove-shared';

import {isNewerVersion, RevisionSpread} from '../index.js';

const MAXIMUM_DELAY_MILLISECONDS = 5;
const STEP_MILLISECONDS = 5;
const STEPS_PER_TICK = 10;

/** Options of a simulated fleet. */
export type SpreadFleetOptions = {
  /** Whether daemons accept older versions, a bug that the checks must detect. */
  readonly acceptsOlderVersions?: boolean;
  readonly count: number;
  /** Whether views still show stopped and partitioned daemons as reachable. */
  readonly isViewStale?: boolean;
  /** Probability that a message is lost. */
  readonly loss: number;
  readonly seed: number;
  /** Called for each sent message. */
  readonly onSend?: (from: string, message: SpreadMessage) => void;
};

/** Record that one daemon applied. */
export type AppliedObservation = {
  readonly digest: string;
  readonly observer: string;
  readonly version: number;
};

type Delivery = {
  readonly at: number;
  readonly from: SpreadNode;
  readonly message: SpreadMessage;
  readonly to: string;
};

type SpreadNode = {
  isUp: boolean;
  readonly name: string;
  partition: number;
  spread: RevisionSpread;
  storedRecords: readonly SpreadRecord[];
};

/** Simulated fleet of daemons that distribute records. */
export class SpreadFleet {
  now = 0;
  readonly nodes: readonly SpreadNode[];
  readonly observations: AppliedObservation[] = [];
  #network: Delivery[] = [];
  readonly #nodesByName: ReadonlyMap<string, SpreadNode>;
  readonly #options: SpreadFleetOptions;
  readonly #randomNumber: RandomNumber;

  constructor(options: SpreadFleetOptions) {
    this.#options = options;
    this.#randomNumber = createSeededRandom(options.seed);
    this.nodes = Array.from({length: options.count}, (_, position) => {
      const name = `daemon-${String(position).padStart(3, '0')}`;
      return {
        isUp: true,
        name,
        partition: 0,
        spread: this.#createSpread(name, []),
        storedRecords: [],
      };
    });
    this.#nodesByName = new Map(this.nodes.map((node) => [node.name, node]));
  }

  getNode(position: number): SpreadNode {
    const node = this.nodes[position];
    if (node === undefined) {
      throw new Error(`no node ${String(position)}`);
    }
    return node;
  }

  publish(node: SpreadNode, version: number, characters = 0): void {
    const content = {
      text: `configuration ${String(version)}`.padEnd(characters),
    };
    const digest = `digest ${String(version)}`;
    const record = {content, digest, topic: 'configuration', version} as const;
    this.#run(node, node.spread.publish([record], this.now));
  }

  stop(node: SpreadNode): void {
    node.isUp = false;
  }

  start(node: SpreadNode): void {
    node.isUp = true;
    node.spread = this.#createSpread(node.name, node.storedRecords);
  }

  /** Runs until a condition holds or the time is up; returns the elapsed time. */
  run(milliseconds: number, isDone: () => boolean = () => false): number {
    const start = this.now;
    while (this.now < start + milliseconds && !isDone()) {
      this.now += STEP_MILLISECONDS;
      this.#deliverDue();
      const tick = this.now / STEP_MILLISECONDS;
      for (const [position, node] of this.nodes.entries()) {
        if (node.isUp && (tick + position) % STEPS_PER_TICK === 0) {
          this.#run(node, node.spread.tick(this.now));
        }
      }
    }
    return this.now - start;
  }

  isAppliedEverywhere(version: number): boolean {
    return this.nodes.every(
      ({isUp, spread}) =>
        !isUp || spread.getApplied('configuration')?.version === version,
    );
  }

  #createSpread(
    name: string,
    storedRecords: readonly SpreadRecord[],
  ): RevisionSpread {
    const acceptsOlderVersions = this.#options.acceptsOlderVersions === true;
    return new RevisionSpread(
      {
        getReachableDaemons: () => this.#getReachable(name),
        localDaemon: name,
        mayReplace: acceptsOlderVersions
          ? (next, applied) => next.version !== applied?.version
          : isNewerVersion,
        randomNumber: this.#randomNumber,
      },
      storedRecords,
      this.now,
    );
  }

  #getReachable(name: string): readonly string[] {
    const localNode = this.#nodesByName.get(name);
    const isViewStale = this.#options.isViewStale === true;
    return this.nodes
      .filter(
        ({isUp, partition}) =>
          isViewStale || (isUp && partition === localNode?.partition),
      )
      .map((node) => node.name);
  }

  #deliverDue(): void {
    const due = this.#network.filter(({at}) => at <= this.now);
    if (due.length === 0) {
      return;
    }
    this.#network = this.#network.filter(({at}) => at > this.now);
    for (const {from, message, to} of due) {
      const target = this.#nodesByName.get(to);
      if (target?.isUp === true && target.partition === from.partition) {
        this.#run(target, target.spread.receive(message, from.name, this.now));
      }
    }
  }

  #run(node: SpreadNode, effects: readonly SpreadEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'send') {
        this.#send(node, effect.to, effect.message);
      } else if (effect.kind === 'persist') {
        node.storedRecords = effect.records;
        this.#run(node, node.spread.persisted(effect.number, this.now));
      } else if (effect.kind === 'apply') {
        const {digest, version} = effect.record;
        this.observations.push({digest, observer: node.name, version});
      }
    }
  }

  #send(from: SpreadNode, to: string, message: SpreadMessage): void {
    this.#options.onSend?.(from.name, message);
    if (this.#randomNumber() >= this.#options.loss) {
      const at = this.now + this.#randomNumber() * MAXIMUM_DELAY_MILLISECONDS;
      this.#network.push({at, from, message, to});
    }
  }
}
