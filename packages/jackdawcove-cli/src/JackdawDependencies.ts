/** What the tool needs from its environment; tests pass fakes. */

/** HTTP request that the tool sends. */
export type ToolRequest = {
  readonly body?: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly method: 'GET' | 'POST';
  readonly timeoutMilliseconds: number;
  readonly url: string;
};

/** HTTP answer that the tool receives. */
export type ToolResponse = {readonly status: number; readonly text: string};

/** Side effects and external inputs of the tool. */
export type JackdawDependencies = {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly mintIdentifier: () => string;
  /** Reads a text file; throws if the file cannot be read. */
  readonly readText: (path: string) => string;
  /** Rejects if no complete answer was received. */
  readonly sendRequest: (request: ToolRequest) => Promise<ToolResponse>;
  readonly wallClock: () => number;
  readonly writeError: (text: string) => void;
  readonly writeOutput: (text: string) => void;
};
