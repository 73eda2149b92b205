/** What the tool needs from the machine; tests pass fakes. */

/** HTTP request of the tool. */
export type ToolRequest = {
  readonly body?: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly method: 'GET' | 'POST';
  readonly timeoutMilliseconds: number;
  readonly url: string;
};

/** HTTP answer to the tool. */
export type ToolResponse = {readonly status: number; readonly text: string};

/** Effects and sources of the tool. */
export type JackdawDependencies = {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly mintIdentifier: () => string;
  /** Reads a text file; throws when it cannot be read. */
  readonly readText: (path: string) => string;
  /** Rejects when no whole answer came back. */
  readonly sendRequest: (request: ToolRequest) => Promise<ToolResponse>;
  readonly wallClock: () => number;
  readonly writeError: (text: string) => void;
  readonly writeOutput: (text: string) => void;
};
