/** Types of the tool's actions: commands change the fleet, queries only read. */

import type {AdministrationClient} from './client/AdministrationClient.js';
import type {JackdawDependencies} from './JackdawDependencies.js';
import type {ToolFlags} from './ToolFlags.js';
import type {Failure, ResultName} from 'jackdawcove-shared';
import type {Result} from 'true-myth';

/** Input of an action. */
export type Invocation = {
  /** Arguments after the name of the action. */
  readonly arguments: readonly string[];
  readonly author: string | undefined;
  readonly client: AdministrationClient;
  readonly dependencies: JackdawDependencies;
  readonly flags: ToolFlags;
};

/** Output of an action. */
export type ToolOutput = {
  /** Printed with --json. */
  readonly json: unknown;
  /** Printed without --json. */
  readonly lines: readonly string[];
  /** Result whose exit code the tool returns. */
  readonly result: ResultName;
};

/** Output of an action, or its failure. */
export type ToolOutcome = Result<ToolOutput, Failure>;

/** Action of the tool. */
export type ToolAction = {
  readonly kind: 'command' | 'query';
  readonly maximumArguments: number;
  readonly minimumArguments: number;
  /** Name as typed on the command line, for example `configuration apply`. */
  readonly name: string;
  readonly run: (invocation: Invocation) => Promise<ToolOutcome>;
  readonly summary: string;
  /** Arguments and flags specific to the action, as the help shows them. */
  readonly usage: string;
};
