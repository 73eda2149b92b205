/** Checkers of histories: linearizability and versions that only move up. */

/** Operation as its client saw it. */
export type Operation<Input, Output> = {
  readonly input: Input;
  readonly invokedAt: number;
  /** Undefined when no answer came: the operation may have happened or not. */
  readonly output: Output | undefined;
  /** Infinity when no answer came. */
  readonly returnedAt: number;
};

/** Sequential specification that a history is checked against. */
export type SequentialModel<State, Input, Output> = {
  readonly apply: (
    state: State,
    input: Input,
  ) => {readonly output: Output; readonly state: State};
  /** Returns a text that is the same for equal states. */
  readonly getKey: (state: State) => string;
  readonly initial: State;
  readonly isSameOutput: (expected: Output, actual: Output) => boolean;
};

/** Version of a register that an observer has seen, in its own order. */
export type VersionObservation = {
  readonly digest: string;
  readonly observer: string;
  readonly version: number;
};

type Search<State, Input, Output> = {
  readonly model: SequentialModel<State, Input, Output>;
  readonly operations: readonly Operation<Input, Output>[];
  readonly visited: Set<string>;
};

type Candidate<State> = {
  readonly position: number;
  readonly state: State;
};

function findEarliestReturn(
  operations: readonly Operation<unknown, unknown>[],
  linearized: ReadonlySet<number>,
): number {
  return operations.reduce(
    (earliest, {returnedAt}, position) =>
      linearized.has(position) ? earliest : Math.min(earliest, returnedAt),
    Number.POSITIVE_INFINITY,
  );
}

/** Operations that may come next: none of the others returned before them. */
function listCandidates<State, Input, Output>(
  search: Search<State, Input, Output>,
  linearized: ReadonlySet<number>,
  state: State,
): readonly Candidate<State>[] {
  const {model, operations} = search;
  const earliestReturn = findEarliestReturn(operations, linearized);
  return operations.flatMap(({input, invokedAt, output}, position) => {
    if (linearized.has(position) || invokedAt > earliestReturn) {
      return [];
    }
    const next = model.apply(state, input);
    const isPossible =
      output === undefined || model.isSameOutput(next.output, output);
    return isPossible ? [{position, state: next.state}] : [];
  });
}

function isComplete(
  operations: readonly Operation<unknown, unknown>[],
  linearized: ReadonlySet<number>,
): boolean {
  return operations.every(
    ({output}, position) => output === undefined || linearized.has(position),
  );
}

function canComplete<State, Input, Output>(
  search: Search<State, Input, Output>,
  linearized: ReadonlySet<number>,
  state: State,
): boolean {
  if (isComplete(search.operations, linearized)) {
    return true;
  }
  const positions = [...linearized]
    .sort((left, right) => left - right)
    .join(',');
  const key = `${positions}|${search.model.getKey(state)}`;
  if (search.visited.has(key)) {
    return false;
  }
  search.visited.add(key);
  return listCandidates(search, linearized, state).some((candidate) =>
    canComplete(
      search,
      new Set([...linearized, candidate.position]),
      candidate.state,
    ),
  );
}

/**
 * Returns whether a history is linearizable: each operation takes effect at one
 * moment between its invocation and its answer, in an order that the sequential
 * model allows (search of Wing and Gong with the memory of Lowe).
 *
 * @example
 * isLinearizable(createConfigurationModel(), operations);
 */
export function isLinearizable<State, Input, Output>(
  model: SequentialModel<State, Input, Output>,
  operations: readonly Operation<Input, Output>[],
): boolean {
  const sorted = operations.toSorted(
    (left, right) => left.invokedAt - right.invokedAt,
  );
  const search = {model, operations: sorted, visited: new Set<string>()};
  return canComplete(search, new Set(), model.initial);
}

/**
 * Returns the first observation that moved down, or that shows another content
 * under a version seen before, or undefined.
 *
 * @example
 * findVersionViolation([{digest: 'a', observer: 'erie-1', version: 1}]);
 */
export function findVersionViolation(
  observations: readonly VersionObservation[],
): VersionObservation | undefined {
  const digests = new Map<number, string>();
  const versions = new Map<string, number>();
  return observations.find(({digest, observer, version}) => {
    const isDecrease = version < (versions.get(observer) ?? 0);
    const isConflicting = (digests.get(version) ?? digest) !== digest;
    versions.set(observer, version);
    digests.set(version, digest);
    return isDecrease || isConflicting;
  });
}

/** Operation on the configuration. */
export type ConfigurationInput =
  | {
      readonly changeIdentifier: string;
      readonly expectedRevision: number;
      readonly kind: 'change';
    }
  | {readonly kind: 'read'};

/** Answer to an operation on the configuration. */
export type ConfigurationOutput =
  | {
      readonly changeIdentifier: string;
      readonly kind: 'value';
      readonly revision: number;
    }
  | {readonly kind: 'accepted'; readonly revision: number}
  | {readonly kind: 'conflict'};

/** State of the configuration: its revision and the change that set it. */
export type ConfigurationModelState = {
  readonly changeIdentifier: string;
  readonly revision: number;
};

function formatOutput(output: ConfigurationOutput): string {
  return JSON.stringify(
    Object.entries(output).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}

/**
 * Creates the model of the configuration: a change is accepted exactly when it
 * expects the current revision.
 *
 * @example
 * createConfigurationModel().initial.revision; // 0
 */
export function createConfigurationModel(): SequentialModel<
  ConfigurationModelState,
  ConfigurationInput,
  ConfigurationOutput
> {
  return {
    apply: (state, input) => {
      if (input.kind === 'read') {
        return {output: {...state, kind: 'value'}, state};
      }
      if (input.expectedRevision !== state.revision) {
        return {output: {kind: 'conflict'}, state};
      }
      const {changeIdentifier} = input;
      const revision = state.revision + 1;
      return {
        output: {kind: 'accepted', revision},
        state: {changeIdentifier, revision},
      };
    },
    getKey: ({changeIdentifier, revision}) =>
      `${String(revision)} ${changeIdentifier}`,
    initial: {changeIdentifier: '', revision: 0},
    isSameOutput: (expected, actual) =>
      formatOutput(expected) === formatOutput(actual),
  };
}
