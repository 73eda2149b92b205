/** Seeded histories that end with an acknowledgement, a lost disk and no power. */

import type {RandomNumber} from 'jackdawcove-shared';

import {setImmediate as nextTurn} from 'node:timers/promises';

import {createSeededRandom, pickRandom} from 'jackdawcove-shared';

import {ControlFleet} from './ControlFleet.js';

const VOTERS = ['a-1', 'b-1', 'c-1'];
/** Daemons without a disk. */
const DISKLESS = ['d-1', 'e-1'];
const ROUNDS = 3;
const TICK_MILLISECONDS = 50;
/** A machine counts as lost until it has been back for this long. */
const CATCH_UP_TICKS = 80;
const SUCCESSOR_TICKS = 20;
const MAXIMUM_DOWN_TICKS = 40;
const MAXIMUM_DELAY_TURNS = 8;
const MAXIMUM_RECOVERY_TICKS = 400;

const TROUBLES = [
  'none',
  'behind',
  'full',
  'replaced',
  'stalled',
  'wiped',
] as const;

type Trouble = (typeof TROUBLES)[number];

function createChange(number: number, life: number) {
  const name = `${String(number)}-${String(life)}`;
  return {
    author: 'operator',
    changeIdentifier: `change-${name}`,
    documentText: `[defaults]\n; ${name}\n`,
    expectedRevision: number - 1,
    reason: 'test',
  };
}

/**
 * Plays rounds in which one machine is in trouble, a change is acknowledged, and
 * all machines lose power at once, one of them with its disk.
 *
 * @example
 * await new LastAcknowledgement(7).run(); // undefined if nothing was lost
 */
export class LastAcknowledgement {
  #acknowledged = 0;
  readonly #fleet: ControlFleet;
  #life = 0;
  #nextName = 2;
  readonly #random: RandomNumber;
  #releaseDisk: () => void = () => undefined;
  /** Machine in trouble, and when its empty disk came into use. */
  #troubled: {emptySince: number | undefined; name: string} | undefined;
  readonly #texts = new Map<number, string>();

  constructor(seed: number, {ignoresSyncs = false} = {}) {
    this.#random = createSeededRandom(seed);
    const standbys = this.#random() < 0.5 ? [] : ['a-0'];
    this.#fleet = new ControlFleet(VOTERS, DISKLESS, {
      namesVotersOnce: true,
      standbys,
    });
    this.#fleet.getDelayTurns = () => this.#pick(MAXIMUM_DELAY_TURNS);
    this.#fleet.files.ignoresSyncs = ignoresSyncs;
    this.#fleet.files.stall = (name) =>
      name === 'sync' ? this.#waitTurns() : undefined;
  }

  /** Returns what was lost, or undefined. */
  async run(): Promise<string | undefined> {
    const fleet = this.#fleet;
    await fleet.startAll();
    await fleet.runUntil(() => this.#hasLeader());
    let problem: string | undefined;
    for (let round = 0; round < ROUNDS && problem === undefined; round += 1) {
      problem = await this.#playRound();
    }
    fleet.close();
    return problem;
  }

  getAcknowledged(): number {
    return this.#acknowledged;
  }

  async #playRound(): Promise<string | undefined> {
    const fleet = this.#fleet;
    const trouble = pickRandom(TROUBLES, this.#random) ?? 'none';
    void this.#sendChanges();
    await fleet.runFor(this.#pick(SUCCESSOR_TICKS));
    await this.#startTrouble(trouble);
    await fleet.runFor(this.#pick(CATCH_UP_TICKS + MAXIMUM_DOWN_TICKS));
    const before = this.#acknowledged;
    for (
      let tick = 0;
      tick < CATCH_UP_TICKS && this.#acknowledged === before;
      tick += 1
    ) {
      await fleet.runFor(1);
    }
    const wiped = this.#losePowerAndDisk();
    const expected = this.#acknowledged;
    await this.#restart();
    const read = await this.#readBack();
    const context = `${trouble} ${this.#troubled?.name ?? ''}, ${wiped ?? 'no disk'} wiped`;
    if (read === undefined) {
      return `${context}: revision ${String(expected)} cannot be read`;
    }
    if (read.revision < expected) {
      return `${context}: read ${String(read.revision)} after ${String(expected)}`;
    }
    const text = this.#texts.get(read.revision);
    if (text !== undefined && text !== read.documentText) {
      return `${context}: revision ${String(read.revision)} has another text`;
    }
    this.#acknowledged = read.revision;
    this.#troubled = undefined;
    await fleet.runFor(CATCH_UP_TICKS);
    return undefined;
  }

  async #sendChanges(): Promise<void> {
    this.#life += 1;
    const life = this.#life;
    const {service} = this.#fleet.getControl('d-1');
    for (;;) {
      const number = this.#acknowledged + 1;
      const change = createChange(number, life);
      const result = await service.propose(change);
      if (life !== this.#life) {
        return;
      }
      if (result.isOk) {
        this.#acknowledged = result.value.revision;
        this.#texts.set(number, change.documentText);
      }
    }
  }

  async #startTrouble(trouble: Trouble): Promise<void> {
    const fleet = this.#fleet;
    const name = pickRandom(this.#getCore(), this.#random) ?? '';
    const folder = fleet.getDataFolder(name);
    this.#troubled = {emptySince: undefined, name};
    switch (trouble) {
      case 'behind':
        fleet.getNode(name).isIsolated = true;
        break;
      case 'full': {
        const diskFull = Object.assign(new Error('full'), {code: 'ENOSPC'});
        fleet.files.injectFault = (operation, path) =>
          operation === 'write' && path.startsWith(folder)
            ? diskFull
            : undefined;
        break;
      }
      case 'replaced':
        fleet.losePower([name], this.#random);
        fleet.remove(name);
        await fleet.runFor(SUCCESSOR_TICKS);
        await this.#addSuccessor(name);
        break;
      case 'stalled':
        this.#stall(folder);
        break;
      case 'wiped':
        fleet.losePower([name], this.#random);
        fleet.files.emptyFolder(folder);
        await fleet.runFor(this.#pick(MAXIMUM_DOWN_TICKS));
        await fleet.start(name);
        this.#troubled.emptySince = fleet.getTime();
        break;
      case 'none':
        break;
    }
  }

  async #addSuccessor(name: string): Promise<void> {
    const successor = `${name.slice(0, 1)}-${String(this.#nextName)}`;
    this.#nextName += 1;
    await this.#fleet.addVoter(successor);
    this.#troubled = {
      emptySince: this.#fleet.getTime(),
      name: successor,
    };
  }

  #stall(folder: string): void {
    const {files} = this.#fleet;
    const released = new Promise<void>((resolve) => {
      this.#releaseDisk = resolve;
    });
    const stall = files.stall;
    files.stall = (operation, path) =>
      path.startsWith(folder) ? released : stall(operation, path);
    void released.then(() => {
      files.stall = stall;
    });
  }

  /** Empties one disk, unless another one was lost too recently. */
  #losePowerAndDisk(): string | undefined {
    this.#life += 1;
    const fleet = this.#fleet;
    const names = fleet.nodes.map(({name}) => name);
    fleet.losePower(names, this.#random);
    for (const name of DISKLESS) {
      fleet.files.emptyFolder(fleet.getDataFolder(name));
    }
    const {emptySince, name} = this.#troubled ?? {};
    const isRecent =
      emptySince !== undefined &&
      fleet.getTime() - emptySince < CATCH_UP_TICKS * TICK_MILLISECONDS;
    const lost = isRecent ? name : pickRandom(this.#getCore(), this.#random);
    if (lost !== undefined && this.#random() < 0.9) {
      fleet.files.emptyFolder(fleet.getDataFolder(lost));
      return lost;
    }
    return undefined;
  }

  async #restart(): Promise<void> {
    const fleet = this.#fleet;
    const disksRecoverFirst = this.#random() < 0.5;
    if (disksRecoverFirst) {
      this.#endTrouble();
    }
    const starts = fleet.nodes.map(({name}) =>
      this.#startAt(
        name,
        fleet.getTime() + this.#pick(SUCCESSOR_TICKS) * TICK_MILLISECONDS,
      ),
    );
    await fleet.runFor(SUCCESSOR_TICKS);
    if (!disksRecoverFirst) {
      await fleet.runFor(this.#pick(CATCH_UP_TICKS));
      this.#endTrouble();
    }
    await Promise.all(starts);
  }

  #endTrouble(): void {
    const fleet = this.#fleet;
    this.#releaseDisk();
    fleet.files.injectFault = () => undefined;
    for (const node of fleet.nodes) {
      node.isIsolated = false;
    }
  }

  async #readBack() {
    const fleet = this.#fleet;
    const deadline =
      fleet.getTime() + MAXIMUM_RECOVERY_TICKS * TICK_MILLISECONDS;
    while (fleet.getTime() < deadline) {
      const name = pickRandom(
        fleet.nodes.map((node) => node.name),
        this.#random,
      );
      const {service} = fleet.getControl(name ?? '');
      const read = await fleet.runUntilSettled(service.read());
      if (read.isOk) {
        return read.value;
      }
    }
    return undefined;
  }

  #getCore(): readonly string[] {
    return this.#fleet.nodes
      .map(({name}) => name)
      .filter((name) => !DISKLESS.includes(name));
  }

  #hasLeader(): boolean {
    return this.#fleet.nodes.some(
      ({control}) => control?.ledgerAssignments.isLeader() === true,
    );
  }

  #pick(limit: number): number {
    return Math.floor(this.#random() * limit);
  }

  async #waitTurns(): Promise<void> {
    const turns = this.#pick(MAXIMUM_DELAY_TURNS);
    for (let turn = 0; turn < turns; turn += 1) {
      await nextTurn();
    }
  }

  async #startAt(name: string, time: number): Promise<void> {
    while (this.#fleet.getTime() < time) {
      await nextTurn();
    }
    await this.#fleet.start(name);
  }
}
