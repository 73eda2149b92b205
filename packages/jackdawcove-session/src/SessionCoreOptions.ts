/** Options of the core of a session. */

import type {HandshakeOptions} from './HandshakeMachine.js';
import type {SessionLimits, SessionSwitches} from './SessionTypes.js';
import type {Milliseconds} from 'jackdawcove-shared';

/** Options of a session core. */
export type SessionCoreOptions = HandshakeOptions & {
  readonly limits: SessionLimits;
  readonly now: Milliseconds;
  readonly switches: SessionSwitches;
};
