/** Checks histories for linearizability and for versions that never decrease. */

/** Operation as its client observed it. */
export type Operation<Input, Output> = {
  readonly input: Input;
  readonly invokedAt: number;
  /** Undefined if no answer arrived; the operation may or may not have taken effect. */
  readonly output: Output | undefined;
  /** Infinity if no answer arrived. */
  readonly returnedAt: number;
};

/** Sequential specification that a history is checked against. */
export type SequentialModel<State, Input, Output> = {
  readonly apply: (
    state: State,
    input: Input,
  ) => {readonly output: Output; readonly state: State};
  /** Returns a key that is the same for equal states and differs for others. */
  readonly getKey: (state: State) => string;
  readonly initial: State;
  readonly isSameOutput: (expected: Output, actual: Output) => boolean;
};

/** Version of a register seen by an observer; listed in the observer's order. */
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

/**
 * Lists the operations that may be linearized next: no other remaining operation
 * returned before they were invoked, and the model allows their output.
 */
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
 * model allows. Uses the search of Wing and Gong with the memoization of Lowe.
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
 * Returns the first observation whose version is lower than the previous one of
 * the same observer, or whose digest differs from an earlier one of the same
 * version; undefined if there is none.
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
