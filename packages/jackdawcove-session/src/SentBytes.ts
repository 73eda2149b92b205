/** Bytes sent to other daemons, by destination and kind. */

/** Bytes of one kind that were sent to one destination. */
export type SentByteCount = {
  readonly byteCount: number;
  /** Name of a daemon; of datagrams the address, formatted as `host:port`. */
  readonly destination: string;
  /** For example `offer`, `membershipDatagram`, or `session` for all of a session. */
  readonly kind: string;
};

/**
 * Counts sent bytes.
 *
 * @example
 * sentBytes.add('vm-2', 'offer', 412);
 * sentBytes.take(); // [{byteCount: 412, destination: 'vm-2', kind: 'offer'}]
 */
export class SentBytes {
  readonly #byDestination = new Map<string, Map<string, number>>();

  add(destination: string, kind: string, byteCount: number): void {
    let byKind = this.#byDestination.get(destination);
    if (byKind === undefined) {
      byKind = new Map();
      this.#byDestination.set(destination, byKind);
    }
    byKind.set(kind, (byKind.get(kind) ?? 0) + byteCount);
  }

  /** Returns the counts since the last call and starts again from zero. */
  take(): readonly SentByteCount[] {
    const counts = [...this.#byDestination].flatMap(([destination, byKind]) =>
      [...byKind].map(([kind, byteCount]) => ({byteCount, destination, kind})),
    );
    this.#byDestination.clear();
    return counts;
  }
}
