/** Small fleet of control subsystems in one process, with a fake messenger. */

import type {ControlRegistration} from '../control/registerControl.js';
import type {
  ChannelName,
  DaemonHost,
  MessageListener,
  MessageSource,
} from '../DaemonHost.js';
import type {RandomNumber} from 'jackdawcove-shared';

import {setImmediate as nextTurn} from 'node:timers/promises';

import {createSeededRandom} from 'jackdawcove-shared';
import {MemoryFiles} from 'jackdawcove-storage';
import {ok} from 'true-myth/result';

import {registerControl} from '../control/registerControl.js';

const TICK_MILLISECONDS = 50;
const MAXIMUM_TICKS = 2_000;
const TURNS_PER_TICK = 5;

type Node = {
  control: ControlRegistration | undefined;
  incarnation: number;
  isIsolated: boolean;
  isVoter: boolean;
  readonly listeners: Map<ChannelName, MessageListener>;
  readonly name: string;
  ticks: (() => void)[];
};

function createNode(name: string, isVoter: boolean): Node {
  return {
    control: undefined,
    incarnation: 0,
    isIsolated: false,
    isVoter,
    listeners: new Map(),
    name,
    ticks: [],
  };
}

/**
 * Fleet of control subsystems with a simulated clock and files in memory.
 *
 * @example
 * const fleet = new ControlFleet(['a-1', 'b-1', 'c-1'], ['d-1']);
 * await fleet.startAll();
 */
export class ControlFleet {
  readonly files = new MemoryFiles();
  /** Returns how many turns of the event loop a message takes. */
  getDelayTurns: () => number = () => 1;
  readonly nodes: Node[];
  readonly #faultTolerance: number;
  readonly #initialVoters: readonly string[];
  readonly #namesVotersOnce: boolean;
  #now = 0;

  constructor(
    voters: string[],
    nonVoters: string[],
    {
      faultTolerance = 1,
      namesVotersOnce = false,
      standbys = [],
    }: {
      faultTolerance?: number;
      /** Whether the settings name the initial voters at the first start only. */
      namesVotersOnce?: boolean;
      standbys?: string[];
    } = {},
  ) {
    this.#faultTolerance = faultTolerance;
    this.#initialVoters = voters;
    this.#namesVotersOnce = namesVotersOnce;
    this.nodes = [...voters, ...standbys, ...nonVoters].map((name) =>
      createNode(name, !nonVoters.includes(name)),
    );
  }

  /** Starts a voter on a new machine with an empty disk. */
  async addVoter(name: string): Promise<void> {
    this.nodes.push(createNode(name, true));
    await this.start(name);
  }

  /** Milliseconds since the fleet was created. */
  getTime(): number {
    return this.#now;
  }

  async startAll(): Promise<void> {
    for (const {name} of this.nodes) {
      await this.start(name);
    }
  }

  async start(name: string): Promise<void> {
    const node = this.getNode(name);
    node.incarnation += 1;
    const getMembers = () =>
      this.nodes.map((member) => ({
        availabilityZone: member.name.slice(0, 1),
        daemon: member.name,
        isReachable:
          member.control !== undefined && member.isIsolated === node.isIsolated,
      }));
    node.control = await registerControl(
      this.#createHost(node),
      {checkDocument: (text) => ok(text), getMembers},
      this.files.createOperations(this.getDataFolder(name)),
    );
  }

  /** Machines that lose power at the same moment; their unsynced writes may be lost. */
  losePower(names: readonly string[], randomNumber: RandomNumber): void {
    for (const name of names) {
      this.stop(name);
      this.files.crash(randomNumber, this.getDataFolder(name));
    }
  }

  /** Removes a machine for good. */
  remove(name: string): void {
    this.stop(name);
    this.nodes.splice(this.nodes.indexOf(this.getNode(name)), 1);
  }

  stop(name: string): void {
    const node = this.getNode(name);
    node.control?.teardown();
    node.control = undefined;
    node.listeners.clear();
    node.ticks = [];
  }

  getNode(name: string): Node {
    const node = this.nodes.find((candidate) => candidate.name === name);
    if (node === undefined) {
      throw new Error(`no node ${name}`);
    }
    return node;
  }

  getControl(name: string): ControlRegistration {
    const {control} = this.getNode(name);
    if (control === undefined) {
      throw new Error(`${name} is stopped`);
    }
    return control;
  }

  getDataFolder(name: string): string {
    return `/${name}`;
  }

  /**
   * Runs ticks until the condition holds, at most `MAXIMUM_TICKS`; returns whether
   * it holds.
   */
  async runUntil(isDone: () => boolean): Promise<boolean> {
    for (let turn = 0; turn < MAXIMUM_TICKS && !isDone(); turn += 1) {
      await this.#runTick();
    }
    return isDone();
  }

  /** Runs a number of ticks. */
  async runFor(ticks: number): Promise<void> {
    for (let turn = 0; turn < ticks; turn += 1) {
      await this.#runTick();
    }
  }

  /** Runs ticks until a promise resolves and returns its value. */
  async runUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
    const state: {value?: Value} = {};
    void promise.then((value) => {
      state.value = value;
    });
    await this.runUntil(() => 'value' in state);
    return promise;
  }

  close(): void {
    for (const {name} of this.nodes) {
      this.stop(name);
    }
  }

  async #runTick(): Promise<void> {
    this.#now += TICK_MILLISECONDS;
    this.nodes
      .flatMap(({ticks}) => ticks)
      .forEach((tick) => {
        tick();
      });
    for (let turn = 0; turn < TURNS_PER_TICK; turn += 1) {
      await nextTurn();
    }
  }

  #getInitialVoters({incarnation, name}: Node): readonly string[] {
    const isNamed = incarnation === 1 || !this.#namesVotersOnce;
    return isNamed && this.#initialVoters.includes(name)
      ? this.#initialVoters
      : [];
  }

  #deliver(
    from: Node,
    to: string,
    channel: ChannelName,
    message: unknown,
  ): void {
    const target = this.nodes.find(({name}) => name === to);
    const address = {host: '127.0.0.1', port: 1};
    const source: MessageSource = {address, daemon: from.name};
    const copy = structuredClone(message);
    const deliver = async () => {
      const turns = this.getDelayTurns();
      for (let turn = 0; turn < turns; turn += 1) {
        await nextTurn();
      }
      if (target?.isIsolated === from.isIsolated) {
        target.listeners.get(channel)?.(copy, source);
      }
    };
    void deliver();
  }

  #createHost(node: Node): DaemonHost {
    const ignore = () => undefined;
    const host = {
      clock: () => this.#now,
      incarnation: node.incarnation,
      log: {debug: ignore, error: ignore, info: ignore, warn: ignore},
      messenger: {
        registerListener: (channel: ChannelName, listener: MessageListener) => {
          node.listeners.set(channel, listener);
          return () => node.listeners.delete(channel);
        },
        send: (to: string, channel: ChannelName, message: unknown) => {
          this.#deliver(node, to, channel, message);
        },
        sendBrief: (to: string, channel: ChannelName, message: unknown) => {
          this.#deliver(node, to, channel, message);
        },
      },
      metrics: {gauge: ignore, increment: ignore, timing: ignore},
      randomNumber: createSeededRandom(
        this.nodes.indexOf(node) * 100 + node.incarnation,
      ),
      recordEvent: ignore,
      registerTicker: (_interval: number, onTick: () => void) => {
        node.ticks.push(onTick);
        return ignore;
      },
      settings: {
        control: {
          faultTolerance: this.#faultTolerance,
          initialVoters: this.#getInitialVoters(node),
          voter: node.isVoter,
        },
        daemon: {dataFolder: this.getDataFolder(node.name), name: node.name},
      },
      wallClock: () => this.#now,
    };
    return host as unknown as DaemonHost;
  }
}
