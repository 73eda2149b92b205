/** Listeners for the messages of channels. */

import type {
  ChannelName,
  MessageListener,
  MessageSource,
} from './SessionTypes.js';
import type {Teardown} from 'jackdawcove-shared';

import {invariant} from 'jackdawcove-shared';

/** At most one listener a channel. */
export class ChannelListeners {
  readonly #listeners = new Map<string, MessageListener>();

  register(channel: ChannelName, listener: MessageListener): Teardown {
    invariant(!this.#listeners.has(channel), 8, channel);
    this.#listeners.set(channel, listener);
    return () => {
      this.#listeners.delete(channel);
    };
  }

  /** Delivers a message; returns false if the channel has no listener. */
  deliver(channel: string, message: unknown, source: MessageSource): boolean {
    const listener = this.#listeners.get(channel);
    listener?.(message, source);
    return listener !== undefined;
  }
}
