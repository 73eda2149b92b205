/** Implements the commands that change the set of voters. */

import type {Invocation, ToolAction, ToolOutcome} from '../ToolAction.js';
import type {ChangeOrigin} from '../ToolInput.js';
import type {Failure} from 'jackdawcove-shared';

import {createFailure} from 'jackdawcove-shared';
import {Result} from 'true-myth';

import {votersSchema} from '../client/AnswerSchemas.js';
import {requireOrigin} from '../ToolInput.js';

const MAXIMUM_VOTER_NAMES = 7;

/** Computes the new voters from the current ones and the arguments. */
type ComputeVoters = (
  voters: readonly string[],
  names: readonly string[],
) => Result<readonly string[], Failure>;

function requirePresent(
  voters: readonly string[],
  names: readonly string[],
): Result<readonly string[], Failure> {
  const absent = names.find((name) => !voters.includes(name));
  return absent === undefined
    ? Result.ok(voters)
    : Result.err(createFailure('usage', `${absent} is not a voter`));
}

function requireAbsent(
  voters: readonly string[],
  names: readonly string[],
): Result<readonly string[], Failure> {
  const present = names.find((name) => voters.includes(name));
  return present === undefined
    ? Result.ok(voters)
    : Result.err(createFailure('usage', `${present} is a voter already`));
}

const addVoters: ComputeVoters = (voters, names) =>
  requireAbsent(voters, names).map(() => [...new Set([...voters, ...names])]);

const removeVoters: ComputeVoters = (voters, names) =>
  requirePresent(voters, names).map(() =>
    voters.filter((name) => !names.includes(name)),
  );

const replaceVoter: ComputeVoters = (voters, names) => {
  const [replaced = '', replacement = ''] = names;
  return requirePresent(voters, [replaced])
    .andThen(() => requireAbsent(voters, [replacement]))
    .map(() => voters.map((name) => (name === replaced ? replacement : name)));
};

async function sendVoterChange(
  invocation: Invocation,
  voters: readonly string[],
  origin: ChangeOrigin,
): Promise<ToolOutcome> {
  const {client, dependencies, flags} = invocation;
  const changeIdentifier =
    flags.changeIdentifier ?? dependencies.mintIdentifier();
  dependencies.writeError(`change identifier ${changeIdentifier}\n`);
  const answer = await client.command(
    '/voters/changes',
    {...origin, changeIdentifier, voters},
    votersSchema,
    'changeOutcomeUnknown',
  );
  return answer.map((found) => ({
    json: found,
    lines: [`voters ${found.voters.join(', ')}`],
    result: 'ok',
  }));
}

async function changeVoters(
  invocation: Invocation,
  computeVoters: ComputeVoters,
): Promise<ToolOutcome> {
  const origin = requireOrigin(invocation);
  if (origin.isErr) {
    return Result.err(origin.error);
  }
  const current = await invocation.client.query('/voters', {}, votersSchema);
  const voters = current.andThen((found) =>
    computeVoters(found.voters, invocation.arguments),
  );
  return voters.isErr
    ? Result.err(voters.error)
    : sendVoterChange(invocation, voters.value, origin.value);
}

function createVoterCommand(
  verb: string,
  argumentUsage: string,
  summary: string,
  computeVoters: ComputeVoters,
): ToolAction {
  const isReplacement = computeVoters === replaceVoter;
  return {
    kind: 'command',
    maximumArguments: isReplacement ? 2 : MAXIMUM_VOTER_NAMES,
    minimumArguments: isReplacement ? 2 : 1,
    name: `voters ${verb}`,
    run: (invocation) => changeVoters(invocation, computeVoters),
    summary,
    usage: `${argumentUsage} --reason TEXT [--author NAME] [--change-identifier ID]`,
  };
}

/** Commands that add, remove and replace voters. */
export const VOTER_COMMANDS: readonly ToolAction[] = [
  createVoterCommand('add', 'NAME...', 'Add voters.', addVoters),
  createVoterCommand('remove', 'NAME...', 'Remove voters.', removeVoters),
  createVoterCommand(
    'replace',
    'OLD NEW',
    'Replace a lost voter by another daemon with a disk.',
    replaceVoter,
  ),
];
