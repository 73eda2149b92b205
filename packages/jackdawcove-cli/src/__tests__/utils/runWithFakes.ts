/** Runs the tool against fake files and a fake daemon. */

import type {ToolRequest, ToolResponse} from '../../index.js';

import {runJackdaw} from '../../index.js';

const VALID_DOCUMENT = '[defaults]\nimportance = normal\n';
const OTHER_DOCUMENT = '[defaults]\nimportance = high\n';
const INVALID_DOCUMENT = '[defaults]\nimportance = highest\nfoo = 1\n';

/** Creates a line as a daemon logs it. */
function createLogLine(fields: Readonly<Record<string, string>>): string {
  return JSON.stringify({
    level: 30,
    msg: 'request not served',
    name: 'jackdawd',
    reason: 'full',
    ...fields,
  });
}

const FILES: Readonly<Record<string, string>> = {
  'bad-tool.ini': '[jackdaw]\nadress = x\n',
  'bad.ini': INVALID_DOCUMENT,
  'caller.log': [
    createLogLine({
      request: 'r7',
      time: '2026-12-04T02:00:00.100Z',
      vm: 'vm-1',
    }),
    createLogLine({
      request: 'r8',
      time: '2026-12-04T02:00:00.200Z',
      vm: 'vm-1',
    }),
    'cut off in the mid',
  ].join('\n'),
  'good.ini': VALID_DOCUMENT,
  'other.ini': OTHER_DOCUMENT,
  'read.token': 'token-from-a-file\n',
  'revision.ini': `; taken from revision 4\n${VALID_DOCUMENT}`,
  'server.log': createLogLine({
    request: 'r7.2',
    time: '2026-12-04T02:00:00.050Z',
    vm: 'vm-2',
  }),
  'tool.ini':
    '[jackdaw]\naddress = 10.0.0.9:9\nauthor = file\ntoken_file = read.token\n',
};

const RECORD = {
  acceptedAt: 0,
  author: 'ana',
  changeIdentifier: 'change-1',
  digest: 'd1',
  documentText: VALID_DOCUMENT,
  reason: 'first',
  revision: 7,
};
const STATUS = {
  digest: 'd1',
  inForceCount: 1,
  isInForce: false,
  leader: 'erie-1',
  memberCount: 2,
  missing: [{daemon: 'huron-1', reason: 'unreachable'}],
  revision: 7,
};
const EVENT = {
  availabilityZone: 'erie-dock',
  call: 'c1',
  fields: {result: 200},
  kind: 'callRefused',
  stamp: {counter: 1, wallMilliseconds: 0},
  vm: 'erie-1',
};
const TIMELINE = {
  answered: ['erie-1'],
  dropped: 0,
  events: [EVENT],
  isTruncated: false,
  missing: [{daemon: 'huron-1', reason: 'noAnswer'}],
};

/** Answers of a daemon by method and path. */
const ANSWERS: Readonly<Record<string, unknown>> = {
  'GET /configuration': RECORD,
  'GET /configuration/history': {changes: [RECORD]},
  'GET /configuration/status': STATUS,
  'GET /members': {
    members: [
      {
        availabilityZone: 'erie-dock',
        backendServer: {
          connections: 300,
          instance: 'shelf-1',
          service: 'shelf',
          slots: 35,
          state: 'ready',
        },
        isDraining: true,
        isVoter: true,
        name: 'erie-1',
        region: 'lakes',
        state: 'alive',
      },
    ],
  },
  'GET /quarantine': {
    entries: [
      {
        crashes: 2,
        fingerprint: 'f1',
        service: 'shelf',
        suspicion: 'quarantined',
      },
    ],
  },
  'GET /status': {
    availabilityZone: 'erie-dock',
    configuration: {digest: 'd1', isConfirmed: false, revision: 7},
    daemon: 'erie-1',
    isDraining: false,
    isReady: true,
    loads: {
      bufferedBytes: 1,
      eventLoopDelayMilliseconds: 0.5,
      openCalls: 2,
      residentBytes: 3,
    },
    uptimeMilliseconds: 10,
    version: '0.1.0',
  },
  'GET /timeline': TIMELINE,
  'GET /voters': {leader: 'a', voters: ['a', 'b', 'c']},
  'POST /configuration/changes': RECORD,
  'POST /drain': {daemon: 'erie-1', isDraining: true},
  'POST /quarantine/releases': {entries: []},
  'POST /voters/changes': {voters: ['a', 'b', 'd']},
};

type Respond = (request: ToolRequest) => ToolResponse;
type RunOptions = {
  readonly environment?: Readonly<Record<string, string>>;
  readonly respond?: Respond;
};
type RunResult = {
  readonly code: number;
  readonly error: string;
  readonly output: string;
  readonly requests: readonly ToolRequest[];
};

function respondNormally({method, url}: ToolRequest): ToolResponse {
  const answer = ANSWERS[`${method} ${new URL(url).pathname}`];
  return {status: 200, text: JSON.stringify(answer)};
}

/** Answers every request with the failure of a result number. */
export function refuseWith(number: number): Respond {
  const text = JSON.stringify({detail: 'why', number});
  return () => ({status: 400, text});
}

/** Answers queries, and fails each command with a connection error code. */
export function loseAnswers(code: string): Respond {
  return ({method, url}) => {
    if (method === 'GET') {
      return respondNormally({
        headers: {},
        method,
        timeoutMilliseconds: 1,
        url,
      });
    }
    throw Object.assign(new Error('The connection ended.'), {code});
  };
}

/** Runs the tool in process against fake files and a fake daemon. */
export async function run(
  line: string,
  options: RunOptions = {},
): Promise<RunResult> {
  const {environment = {USER: 'ana'}, respond = respondNormally} = options;
  const requests: ToolRequest[] = [];
  let error = '';
  let output = '';
  const words = line.split(' ').filter((word) => word !== '');
  const code = await runJackdaw(words, {
    environment,
    mintIdentifier: () => 'minted-1',
    readText: (path) => {
      const text = FILES[path];
      if (text === undefined) {
        throw new Error('There is no such file.');
      }
      return text;
    },
    sendRequest: async (request) => {
      requests.push(request);
      return respond(request);
    },
    wallClock: () => 600_000,
    writeError: (text) => {
      error += text;
    },
    writeOutput: (text) => {
      output += text;
    },
  });
  return {code, error, output, requests};
}
