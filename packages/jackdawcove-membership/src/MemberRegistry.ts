/** Daemon records, the gossip about their changes, and the current view. */

import type {WireUpdate} from './MembershipMessages.js';
import type {
  BackendServerRecord,
  DaemonRecord,
  LocalDaemon,
} from './MembershipRecords.js';
import type {DaemonName, Milliseconds} from 'jackdawcove-shared';

import {invariant} from 'jackdawcove-shared';

import {GossipQueue} from './GossipQueue.js';
import {
  LEFT_RETENTION_MS,
  SUSPICION_TIMEOUT_MS,
  UNREACHABLE_RETENTION_MS,
} from './MembershipConstants.js';
import {
  decodeRecord,
  encodeRecord,
  encodeState,
  isWireRecord,
} from './MembershipMessages.js';
import {
  compareDaemonRecords,
  DAEMON_STATES,
  isSameBackendServer,
} from './MembershipRecords.js';
import {MembershipView} from './MembershipView.js';
import {MemberTable} from './MemberTable.js';

/** Changes since the last call of `publishChanges`. */
export type RegistryChanges = {
  /** Backend server that an earlier process of the local daemon published as draining. */
  readonly earlierBackendServer: BackendServerRecord | undefined;
  readonly records: readonly DaemonRecord[];
  readonly view: MembershipView | undefined;
};

const NO_LOCAL_RECORD = 11;

/**
 * Keeps the newest record of each daemon, and refutes records of the local daemon
 * that conflict with its own.
 */
export class MemberRegistry {
  #changedRecords: DaemonRecord[] = [];
  /** Backend server that an earlier process published as draining, until it is taken. */
  #drainingBackendServer: BackendServerRecord | undefined;
  #earlierRecord: DaemonRecord | undefined;
  #hasChange = false;
  readonly #localName: DaemonName;
  readonly #queue = new GossipQueue();
  readonly #table = new MemberTable();
  #view: MembershipView;

  constructor(local: LocalDaemon, now: Milliseconds) {
    this.#localName = local.name;
    const record: DaemonRecord = {
      ...local,
      isDraining: false,
      ledgerGeneration: 0,
      state: 'alive',
      version: 0,
    };
    this.#table.apply(record, now);
    this.#view = new MembershipView(local.name, 0, this.#table.getRecordMap());
  }

  /** Returns the table of records. */
  getTable(): Pick<
    MemberTable,
    'getBucketRecords' | 'getDigest' | 'getRecord' | 'getRecords' | 'getSize'
  > {
    return this.#table;
  }

  /** Returns the view as of the last call of `publishChanges`. */
  getView(): MembershipView {
    return this.#view;
  }

  /** Returns the backend server in the last record of an earlier process. */
  getEarlierBackendServer(): BackendServerRecord | undefined {
    return this.#earlierRecord?.backendServer;
  }

  /** Returns the record of the local daemon. */
  getLocalRecord(): DaemonRecord {
    const record = this.#table.getRecord(this.#localName);
    invariant(record !== undefined, NO_LOCAL_RECORD);
    return record;
  }

  /**
   * Applies an update from gossip.
   *
   * @example
   * registry.applyUpdate(['vm-7', 1, 4, 1], now); // vm-7 is suspected
   */
  applyUpdate(update: WireUpdate, now: Milliseconds): void {
    if (isWireRecord(update)) {
      this.applyRecord(decodeRecord(update), now, true);
      return;
    }
    const [name, incarnation, version, stateIndex] = update;
    const current = this.#table.getRecord(name);
    const state = DAEMON_STATES[stateIndex];
    const isSameVersion =
      current?.incarnation === incarnation && current.version === version;
    // Another version may differ in content; anti-entropy will send the record.
    if (current !== undefined && state !== undefined && isSameVersion) {
      this.applyRecord({...current, state}, now, true);
    }
  }

  /**
   * Applies a complete record. A change is queued for gossip if `isGossiped` is
   * set. A conflicting record of the local daemon is refuted.
   *
   * @example
   * registry.applyRecord(record, now, false);
   */
  applyRecord(
    record: DaemonRecord,
    now: Milliseconds,
    isGossiped: boolean,
  ): void {
    if (record.name === this.#localName) {
      this.#refute(record, now);
      return;
    }
    const current = this.#table.getRecord(record.name);
    if (current === undefined && record.state === 'left') {
      return;
    }
    if (this.#table.apply(record, now)) {
      this.#trackChange(record);
      if (isGossiped) {
        this.#queueRecord(record, current);
      }
    }
  }

  /**
   * Sets the state of another daemon and keeps its version.
   *
   * @example
   * registry.setState('vm-7', 'suspect', now);
   */
  setState(
    name: DaemonName,
    state: DaemonRecord['state'],
    now: Milliseconds,
  ): void {
    const current = this.#table.getRecord(name);
    if (current !== undefined) {
      this.applyRecord({...current, state}, now, true);
    }
  }

  /**
   * Replaces the record of the local daemon under the next version.
   *
   * @example
   * registry.updateLocal({...registry.getLocalRecord(), isDraining: true}, now);
   */
  updateLocal(record: DaemonRecord, now: Milliseconds): void {
    const next = {...record, version: record.version + 1};
    this.#table.apply(next, now);
    this.#trackChange(next);
    this.#queue.add(encodeRecord(next));
  }

  /** Marks daemons unreachable that did not refute a suspicion in time. */
  expireSuspicions(now: Milliseconds): void {
    const since = now - SUSPICION_TIMEOUT_MS;
    for (const {name} of this.#table.getMembersInStateSince('suspect', since)) {
      this.setState(name, 'unreachable', now);
    }
  }

  /** Removes records of left and unreachable daemons after their retention. */
  removeExpired(now: Milliseconds): void {
    const expired = [
      ...this.#table.getMembersInStateSince('left', now - LEFT_RETENTION_MS),
      ...this.#table.getMembersInStateSince(
        'unreachable',
        now - UNREACHABLE_RETENTION_MS,
      ),
    ];
    for (const {name} of expired) {
      if (name !== this.#localName) {
        this.#table.remove(name);
        this.#hasChange = true;
      }
    }
  }

  /** Takes queued gossip that fits into the given number of bytes. */
  takeGossip(maximumBytes: number): WireUpdate[] {
    return this.#queue.take(maximumBytes, this.#table.getSize());
  }

  /** Checks whether gossip is queued. */
  hasGossip(): boolean {
    return !this.#queue.isEmpty();
  }

  /** Returns the changes since the last call and publishes a view with them. */
  publishChanges(): RegistryChanges {
    const records = this.#changedRecords;
    const earlierBackendServer = this.#drainingBackendServer;
    this.#changedRecords = [];
    this.#drainingBackendServer = undefined;
    if (!this.#hasChange) {
      return {earlierBackendServer, records, view: undefined};
    }
    this.#hasChange = false;
    this.#view = new MembershipView(
      this.#localName,
      this.#view.getViewNumber() + 1,
      this.#table.getRecordMap(),
    );
    return {earlierBackendServer, records, view: this.#view};
  }

  #trackChange(record: DaemonRecord): void {
    this.#changedRecords.push(record);
    this.#hasChange = true;
  }

  #queueRecord(record: DaemonRecord, previous: DaemonRecord | undefined): void {
    const isStateOnly =
      previous?.incarnation === record.incarnation &&
      previous.version === record.version;
    this.#queue.add(isStateOnly ? encodeState(record) : encodeRecord(record));
  }

  /** Publishes at once what must not be lost if this process ends soon as well. */
  #adoptBackendServer(record: DaemonRecord, now: Milliseconds): void {
    const {backendServer, incarnation} = record;
    const local = this.getLocalRecord();
    if (incarnation === local.incarnation) {
      return;
    }
    const known = this.#earlierRecord;
    if (known === undefined || compareDaemonRecords(record, known) > 0) {
      this.#earlierRecord = record;
    }
    if (backendServer?.state !== 'draining') {
      return;
    }
    this.#drainingBackendServer = backendServer;
    if (local.backendServer === undefined) {
      this.updateLocal({...local, backendServer}, now);
    }
  }

  #refute(record: DaemonRecord, now: Milliseconds): void {
    this.#adoptBackendServer(record, now);
    const local = this.getLocalRecord();
    const order = compareDaemonRecords(record, local);
    const isSameContent =
      record.isDraining === local.isDraining &&
      record.ledgerGeneration === local.ledgerGeneration &&
      isSameBackendServer(record.backendServer, local.backendServer);
    if (order < 0 || (order === 0 && isSameContent)) {
      return;
    }
    // A newer incarnation or version, or other content under the same version,
    // can only come from an earlier process whose clock was ahead.
    const isFromEarlierProcess =
      record.incarnation > local.incarnation ||
      record.version > local.version ||
      !isSameContent;
    if (!isFromEarlierProcess) {
      this.updateLocal({...local, version: record.version}, now);
      return;
    }
    const incarnation = record.incarnation + 1;
    // Nothing is newer than the greatest number, and other daemons could not read it.
    if (Number.isSafeInteger(incarnation)) {
      this.updateLocal({...local, incarnation}, now);
    }
  }
}
