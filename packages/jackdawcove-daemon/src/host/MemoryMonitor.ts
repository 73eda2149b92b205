/** Frees memory that is not used any more before it adds up to that of the VM. */

import {getHeapStatistics, setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** What a monitor reads and does. */
export type MemoryMonitorOptions = {
  readonly collectGarbage?: () => void;
  /** Bytes that the daemon may buffer; a share of the memory of its VM. */
  readonly bufferedBytes: number;
  readonly readUsedBytes?: () => number;
};

/** Size of heap and buffers from which garbage is collected, in shares of the buffers' limit. */
const USED_SHARE = 1.5;

/** Growth since the last collection without which another one would free little. */
const GROWTH_SHARE = 0.5;

/** Received bytes after which the memory in use is looked at again. */
const RECEIVED_SHARE = 0.25;

/**
 * V8 collects garbage with regard to the memory of the machine, and lets unused buffers
 * add up to 128 MB. On a small VM, or where a process may use a part of a machine only,
 * that is too late under a load that leaves much garbage.
 */
export class MemoryMonitor {
  readonly #bufferedBytes: number;
  readonly #collectGarbage: () => void;
  readonly #readUsedBytes: () => number;
  #receivedBytes = 0;
  #usedAfterCollection = 0;

  constructor({
    bufferedBytes,
    collectGarbage = collectGarbageNow,
    readUsedBytes = readHeapAndBuffers,
  }: MemoryMonitorOptions) {
    this.#bufferedBytes = bufferedBytes;
    this.#collectGarbage = collectGarbage;
    this.#readUsedBytes = readUsedBytes;
  }

  /**
   * Records received bytes, each of which becomes garbage.
   *
   * @example
   * monitor.recordReceivedBytes(65_536);
   */
  recordReceivedBytes(byteCount: number): void {
    this.#receivedBytes += byteCount;
    if (this.#receivedBytes > this.#bufferedBytes * RECEIVED_SHARE) {
      this.check();
    }
  }

  /** Collects garbage if much memory is in use and much of it is new. */
  check(): void {
    this.#receivedBytes = 0;
    const usedBytes = this.#readUsedBytes();
    const growth = usedBytes - this.#usedAfterCollection;
    if (
      usedBytes > this.#bufferedBytes * USED_SHARE &&
      growth > this.#bufferedBytes * GROWTH_SHARE
    ) {
      this.#collectGarbage();
      this.#usedAfterCollection = this.#readUsedBytes();
    }
  }
}

type CollectGarbage = () => void;

let collect: CollectGarbage | undefined;

/** Loaded on first use: V8 ignores a code cache that was written with other flags. */
function collectGarbageNow(): void {
  if (collect === undefined) {
    setFlagsFromString('--expose-gc');
    collect = runInNewContext('gc') as CollectGarbage;
  }
  collect();
}

function readHeapAndBuffers(): number {
  const {external_memory: buffers, used_heap_size: heap} = getHeapStatistics();
  return buffers + heap;
}
