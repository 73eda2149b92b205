/**
 * Numbered result codes that callers, backend servers and operators see.
 *
 * A test checks docs/RESULT-CODES.md against this table.
 */

/** Whether the request that ended with the result was executed. */
export type Executed = 'no' | 'unknown' | 'yes';

/** One row of the result table. */
export type ResultCode = {
  readonly description: string;
  readonly executed: Executed;
  readonly exitCode: number;
  readonly httpStatus: number;
  readonly name: string;
  readonly number: number;
};

/** Name of a result code. */
export type ResultName = keyof typeof RESULT_TABLE;

type Row = readonly [
  number: number,
  httpStatus: number,
  exitCode: number,
  executed: Executed,
  description: string,
];

const RESULT_TABLE = {
  addressInUse: [604, 503, 71, 'no', 'An address is in use.'],

  alreadyRun: [
    400,
    409,
    5,
    'yes',
    'A request with this key has run; its answer is no longer held.',
  ],
  announcementConflict: [
    110,
    409,
    2,
    'no',
    'Another process holds the lease of this instance.',
  ],
  answerCut: [
    306,
    502,
    4,
    'unknown',
    'The answer ended before its stated length or check value.',
  ],
  authenticationFailed: [
    702,
    502,
    8,
    'no',
    'The other daemon does not know the fleet key.',
  ],
  backendServerCrashed: [
    305,
    502,
    4,
    'unknown',
    'The backend server stopped while it ran the request.',
  ],
  bodyIncomplete: [
    104,
    400,
    2,
    'no',
    'The request body ended before its stated length.',
  ],
  bodyTooLarge: [102, 413, 2, 'no', 'The body exceeds the limit.'],
  callerTimeout: [
    105,
    408,
    2,
    'no',
    'The caller did not finish sending its request in time.',
  ],
  cancelledBeforeDispatch: [
    213,
    499,
    3,
    'no',
    'The caller cancelled the request before it was dispatched.',
  ],
  cancelledWhileRunning: [
    307,
    499,
    4,
    'unknown',
    'The caller cancelled the request while it was running.',
  ],
  chainTooDeep: [
    214,
    508,
    3,
    'no',
    'The call chain is deeper than the configured maximum.',
  ],
  changeIdentifierReused: [
    504,
    409,
    6,
    'no',
    'The change identifier belongs to a change with another content.',
  ],

  changeOutcomeUnknown: [
    511,
    504,
    6,
    'unknown',
    'The change was proposed and its outcome is not known: send it again.',
  ],
  checksumMismatch: [
    706,
    502,
    8,
    'unknown',
    'A body does not match its length or check value.',
  ],
  connectionLimitReached: [
    212,
    503,
    3,
    'no',
    'The backend server has no free connection.',
  ],
  daemonDraining: [215, 503, 3, 'no', 'The daemon is stopping.'],
  daemonOverloaded: [
    206,
    503,
    3,
    'no',
    'The daemon shed the request: its own event loop is delayed.',
  ],
  daemonStarting: [211, 503, 3, 'no', 'The daemon is not ready for calls.'],
  daemonUnreachable: [603, 503, 69, 'unknown', 'The daemon does not answer.'],
  deadlineExceededBeforeDispatch: [
    202,
    504,
    3,
    'no',
    'The deadline passed before the request was dispatched.',
  ],
  deadlineExceededWhileRunning: [
    304,
    504,
    4,
    'unknown',
    'The deadline passed while the request was running.',
  ],
  fenced: [
    210,
    503,
    3,
    'no',
    'The attempt was fenced before it reached the backend server.',
  ],
  flowControlViolation: [
    707,
    502,
    8,
    'unknown',
    'The other daemon sent more than its credit.',
  ],
  forbidden: [507, 403, 6, 'no', 'The token lacks the right to change.'],
  frameMalformed: [
    701,
    502,
    8,
    'unknown',
    'A frame does not match its schema.',
  ],
  frameReplayed: [
    708,
    502,
    8,
    'unknown',
    'A frame is out of sequence or belongs to another session.',
  ],
  frameTooLong: [700, 502, 8, 'unknown', 'A frame exceeds the limit.'],
  headersTooLarge: [101, 431, 2, 'no', 'The headers exceed the limit.'],
  homeZoneUnreachable: [
    301,
    503,
    4,
    'unknown',
    "The key's home availability zone is out of reach.",
  ],
  idempotencyKeyExpired: [
    107,
    409,
    2,
    'no',
    'The idempotency key is older than the retention period.',
  ],

  idempotencyKeyForgotten: [
    308,
    409,
    4,
    'unknown',
    'The key is older than the retention period: earlier runs are not known.',
  ],
  idempotencyKeyFromFuture: [
    108,
    409,
    2,
    'no',
    'The idempotency key was minted later than the tolerated clock skew allows.',
  ],
  instanceDraining: [204, 503, 3, 'no', 'The instance is draining.'],
  instanceRefused: [217, 503, 3, 'no', 'The instance refused the request.'],
  internalError: [699, 500, 70, 'unknown', 'A fault in jackdawcove itself.'],
  invalidAnnouncement: [109, 400, 2, 'no', 'The announcement is invalid.'],
  invalidConfiguration: [
    500,
    400,
    6,
    'no',
    'The fleet configuration is not valid.',
  ],
  invalidIdempotencyKey: [
    106,
    400,
    2,
    'no',
    'The idempotency key is not a UUIDv7 with an optional availability zone.',
  ],
  invalidInput: [510, 400, 6, 'no', 'The input does not match its schema.'],
  keepaliveTimeout: [705, 502, 8, 'unknown', 'The session went silent.'],

  keyReused: [
    401,
    422,
    5,
    'no',
    'The key belongs to a request with another content.',
  ],
  ledgerEpochChanged: [
    303,
    409,
    4,
    'unknown',
    'The key is older than the ledger epoch: earlier runs are not known.',
  ],

  ledgerUnavailable: [
    302,
    503,
    4,
    'unknown',
    'No majority of the ledger group answers.',
  ],
  malformedRequest: [100, 400, 2, 'no', 'The HTTP request is malformed.'],
  noInstance: [203, 503, 3, 'no', 'No instance of the service is available.'],
  noLeader: [502, 503, 6, 'no', 'No leader of the voters is in reach.'],
  notFound: [508, 404, 6, 'no', 'There is no such resource.'],
  notImplemented: [111, 501, 2, 'no', 'The HTTP feature is not supported.'],
  ok: [0, 200, 0, 'yes', 'The request completed.'],
  outcomeUnknown: [
    300,
    502,
    4,
    'unknown',
    'The request may have run: its outcome is not known.',
  ],
  partialAnswer: [608, 206, 9, 'yes', 'Some daemons could not be reached.'],
  payloadTooLarge: [509, 413, 6, 'no', 'The payload exceeds the limit.'],
  protocolVersionMismatch: [
    704,
    502,
    8,
    'no',
    'The other daemon speaks another protocol version.',
  ],
  quarantined: [
    209,
    422,
    3,
    'no',
    'The request is quarantined: it crashed two backend servers.',
  ],

  replicaIdentityMismatch: [
    607,
    409,
    74,
    'no',
    'The data folder is empty or belongs to another replica.',
  ],
  retryAllowanceExhausted: [
    205,
    503,
    3,
    'no',
    'The last attempt was refused and no retry token is left.',
  ],
  revisionConflict: [
    501,
    409,
    6,
    'no',
    'Another change was accepted under the expected revision.',
  ],
  sessionClosed: [703, 502, 8, 'unknown', 'The session closed.'],
  sessionSuperseded: [
    709,
    502,
    8,
    'unknown',
    'Another session with the same daemon took its place.',
  ],
  settingsInvalid: [601, 400, 78, 'no', 'The settings file is not valid.'],
  settingsUnreadable: [602, 400, 66, 'no', 'The settings cannot be read.'],
  shedBeforeSending: [
    201,
    503,
    3,
    'no',
    "The caller's daemon shed the request: every instance would refuse it.",
  ],
  shedByAdmission: [
    200,
    503,
    3,
    'no',
    'The instance shed the request before dispatch.',
  ],
  storageDamaged: [605, 500, 74, 'no', 'Stored records are damaged.'],
  storageFailed: [503, 503, 6, 'unknown', 'The voter cannot sync its storage.'],
  storageFull: [606, 507, 74, 'no', 'The data folder is full.'],
  suspectWaiting: [
    216,
    503,
    3,
    'no',
    'The request is a crash suspect and is being tried elsewhere.',
  ],
  tooManyBufferedBytes: [
    208,
    503,
    3,
    'no',
    'The daemon holds too many buffered bytes.',
  ],
  tooManyOpenCalls: [207, 503, 3, 'no', 'The daemon holds too many calls.'],
  unauthorized: [506, 401, 6, 'no', 'The bearer token is missing or unknown.'],
  unknownService: [103, 404, 2, 'no', 'No such service is announced.'],
  unsafeVoterChange: [
    505,
    409,
    6,
    'no',
    'The step would lose the majority of the voters.',
  ],
  usage: [600, 400, 64, 'no', 'The command line is not valid.'],
} as const satisfies Readonly<Record<string, Row>>;

function createResultCode(name: string, row: Row): ResultCode {
  const [number, httpStatus, exitCode, executed, description] = row;
  return Object.freeze({
    description,
    executed,
    exitCode,
    httpStatus,
    name,
    number,
  });
}

/** Result codes by name, for example `RESULT_CODES.shedByAdmission.number`. */
export const RESULT_CODES = Object.freeze(
  Object.fromEntries(
    Object.entries(RESULT_TABLE).map(([name, row]) => [
      name,
      createResultCode(name, row),
    ]),
  ),
) as Readonly<Record<ResultName, ResultCode>>;

const RESULT_CODES_BY_NUMBER: ReadonlyMap<number, ResultCode> = new Map(
  Object.values(RESULT_CODES).map((code) => [code.number, code]),
);

/**
 * Returns the result code with the given number, or undefined.
 *
 * @example
 * getResultCode(200)?.name; // 'shedByAdmission'
 */
export function getResultCode(number: number): ResultCode | undefined {
  return RESULT_CODES_BY_NUMBER.get(number);
}
