/** Actions of the tool: commands change the fleet, queries only read. */

import type {AdministrationClient} from './client/AdministrationClient.js';
import type {JackdawDependencies} from './JackdawDependencies.js';
import type {ToolFlags} from './ToolFlags.js';
import type {Failure, ResultName} from 'jackdawcove-shared';
import type {Result} from 'true-myth';

/** What an action is run with. */
export type Invocation = {
  /** Arguments after the name of the action. */
  readonly arguments: readonly string[];
  readonly author: string | undefined;
  readonly client: AdministrationClient;
  readonly dependencies: JackdawDependencies;
  readonly flags: ToolFlags;
};

/** What an action shows. */
export type ToolOutput = {
  /** Printed with --json. */
  readonly json: unknown;
  /** Printed without --json. */
  readonly lines: readonly string[];
  /** Result that gives the exit code. */
  readonly result: ResultName;
};

/** Outcome of an action. */
export type ToolOutcome = Result<ToolOutput, Failure>;

/** Action of the tool. */
export type ToolAction = {
  readonly kind: 'command' | 'query';
  readonly maximumArguments: number;
  readonly minimumArguments: number;
  /** Words that name the action, for example `configuration apply`. */
  readonly name: string;
  readonly run: (invocation: Invocation) => Promise<ToolOutcome>;
  readonly summary: string;
  /** Arguments and flags of its own. */
  readonly usage: string;
};
