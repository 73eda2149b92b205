/** Dependencies of the tool when it runs as a process. */

import type {
  JackdawDependencies,
  ToolRequest,
  ToolResponse,
} from './JackdawDependencies.js';

import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';

import {request} from 'undici';

async function sendRequest(toolRequest: ToolRequest): Promise<ToolResponse> {
  const {body, headers, method, timeoutMilliseconds, url} = toolRequest;
  const {body: answer, statusCode} = await request(url, {
    body: body ?? null,
    headers: {...headers},
    method,
    signal: AbortSignal.timeout(timeoutMilliseconds),
  });
  return {status: statusCode, text: await answer.text()};
}

/**
 * Creates dependencies that use the process, the file system and the network.
 *
 * @example
 * await runJackdaw(process.argv.slice(2), createDependencies());
 */
export function createDependencies(): JackdawDependencies {
  return {
    environment: process.env,
    mintIdentifier: () => randomUUID(),
    readText: (path) => readFileSync(path, 'utf8'),
    sendRequest,
    wallClock: () => Date.now(),
    writeError: (text) => {
      process.stderr.write(text);
    },
    writeOutput: (text) => {
      process.stdout.write(text);
    },
  };
}
