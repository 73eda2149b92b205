/** Service that reads and changes the fleet configuration. */

import type {
  AppliedConfiguration,
  AppliedListener,
  ConfigurationService,
  ConfigurationStatus,
  FleetMember,
} from './ConfigurationService.js';
import type {ControlClient} from './ControlClient.js';
import type {ControlAnswer, ControlRequest} from './ControlMessages.js';
import type {
  ConfigurationChange,
  ConfigurationRecord,
  SpreadRecord,
} from 'jackdawcove-revision';
import type {DaemonName, Failure} from 'jackdawcove-shared';
import type {Result} from 'true-myth/result';

import {
  configurationChangeSchema,
  configurationRecordSchema,
  MAXIMUM_DOCUMENT_LENGTH,
} from 'jackdawcove-revision';
import {createFailure} from 'jackdawcove-shared';
import {err, ok} from 'true-myth/result';
import {z} from 'zod';

import {collectStatus} from './collectStatus.js';
import {STATUS_TIMEOUT_MILLISECONDS} from './ControlConstants.js';

/** Options of the configuration service. */
export type ConfigurationServiceOptions = {
  readonly client: ControlClient;
  readonly getApplied: () => SpreadRecord | undefined;
  readonly getLeader: () => DaemonName | undefined;
  readonly getMembers: () => readonly FleetMember[];
  readonly getVoters: () => readonly DaemonName[];
  readonly isConfirmed: () => boolean;
  readonly isReady: () => boolean;
  readonly prepareStop: () => Promise<void>;
};

/** Configuration service and the notification of its listeners. */
export type RunningConfigurationService = ConfigurationService & {
  /** Calls the listeners with the applied configuration. */
  notifyAppliedListeners(): void;
};

type AnswerOf<Kind extends ControlAnswer['kind']> = Extract<
  ControlAnswer,
  {kind: Kind}
>;

function expectAnswer<Kind extends ControlAnswer['kind']>(
  kind: Kind,
  answer: ControlAnswer,
): Result<AnswerOf<Kind>, Failure> {
  if (answer.kind === kind) {
    return ok(answer as AnswerOf<Kind>);
  }
  return err(
    answer.kind === 'failure'
      ? answer.failure
      : createFailure('internalError', `unexpected answer ${answer.kind}`),
  );
}

function findChangeFailure(change: ConfigurationChange): Failure | undefined {
  if (change.documentText.length > MAXIMUM_DOCUMENT_LENGTH) {
    return createFailure('payloadTooLarge', 'the configuration');
  }
  const parsed = configurationChangeSchema.safeParse(change);
  return parsed.success
    ? undefined
    : createFailure('invalidInput', z.prettifyError(parsed.error));
}

function parseRecord(
  record: SpreadRecord | undefined,
): ConfigurationRecord | undefined {
  const parsed = configurationRecordSchema.safeParse(record?.content);
  return parsed.success ? parsed.data : undefined;
}

function readApplied(
  options: ConfigurationServiceOptions,
): AppliedConfiguration {
  const record = parseRecord(options.getApplied());
  return {
    digest: record?.digest ?? '',
    documentText: record?.documentText ?? '',
    isConfirmed: options.isConfirmed(),
    revision: record?.revision ?? 0,
  };
}

async function readStatus(
  options: ConfigurationServiceOptions,
): Promise<ConfigurationStatus> {
  const members = options.getMembers();
  const askMember = async (daemon: DaemonName) => {
    const answer = await options.client.ask(
      daemon,
      {kind: 'applied'},
      STATUS_TIMEOUT_MILLISECONDS,
    );
    return answer?.kind === 'applied' ? answer : undefined;
  };
  const {inForceCount, missing, newest} = await collectStatus({
    askMember,
    members,
    newest: readApplied(options),
  });
  return {
    digest: newest.digest,
    inForceCount,
    isInForce: missing.length === 0,
    leader: options.getLeader(),
    memberCount: members.length,
    missing,
    revision: newest.revision,
    voters: options.getVoters(),
  };
}

/**
 * Creates the configuration service of one daemon.
 *
 * @example
 * const service = createConfigurationService(options);
 * service.getApplied().revision;
 */
export function createConfigurationService(
  options: ConfigurationServiceOptions,
): RunningConfigurationService {
  const listeners = new Set<AppliedListener>();
  const askLeader = async <Kind extends ControlAnswer['kind']>(
    kind: Kind,
    request: ControlRequest,
  ) =>
    (await options.client.askLeader(request)).andThen((answer) =>
      expectAnswer(kind, answer),
    );
  return {
    changeVoters: async (change) =>
      (await askLeader('voters', {change, kind: 'changeVoters'})).map(
        ({voters}) => voters,
      ),
    getApplied: () => readApplied(options),
    getHistory: async () =>
      (await askLeader('history', {kind: 'history'})).map(
        ({records}) => records,
      ),
    getStatus: () => readStatus(options),
    isReady: options.isReady,
    notifyAppliedListeners: () => {
      const applied = readApplied(options);
      for (const listener of listeners) {
        listener(applied);
      }
    },
    prepareStop: options.prepareStop,
    propose: async (change) => {
      const failure = findChangeFailure(change);
      return failure === undefined
        ? (await askLeader('record', {change, kind: 'propose'})).map(
            ({record}) => record,
          )
        : err(failure);
    },
    read: async (revision) =>
      (await askLeader('record', {kind: 'read', revision})).map(
        ({record}) => record,
      ),
    registerAppliedListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
}
