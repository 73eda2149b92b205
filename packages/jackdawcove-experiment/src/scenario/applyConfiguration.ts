/** Changes the fleet configuration of an experiment through the administration API. */

import type {Fleet} from './Fleet.js';

import {setTimeout as delay} from 'node:timers/promises';

import {formatAddress} from 'jackdawcove-shared';
import {request} from 'undici';

import {EXPERIMENT_TOKENS} from './createDaemonSettings.js';

const APPLY_ATTEMPTS = 50;
const RETRY_DELAY_MILLISECONDS = 200;

async function callAdministration(
  fleet: Fleet,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<{readonly body: unknown; readonly status: number}> {
  const [member] = fleet.getMembers();
  if (member === undefined) {
    throw new Error('The fleet has no members.');
  }
  const address = formatAddress(member.plan.addresses.administration);
  const answer = await request(`http://${address}${path}`, {
    body: body === undefined ? null : JSON.stringify(body),
    headers: {
      authorization: `Bearer ${EXPERIMENT_TOKENS.change}`,
      'content-type': 'application/json',
    },
    method,
  });
  return {body: await answer.body.json(), status: answer.statusCode};
}

/**
 * Applies a configuration document; retries until the voters accept it and throws
 * after `APPLY_ATTEMPTS` rejected attempts.
 *
 * @example
 * await applyConfiguration(fleet, createFleetConfiguration(scenario));
 */
export async function applyConfiguration(
  fleet: Fleet,
  documentText: string,
): Promise<void> {
  const changeIdentifier = crypto.randomUUID();
  let lastAnswer = '';
  for (let attempt = 0; attempt < APPLY_ATTEMPTS; attempt += 1) {
    const current = await callAdministration(
      fleet,
      'GET',
      '/configuration/applied',
    );
    const {revision} = current.body as {revision?: number};
    const answer = await callAdministration(
      fleet,
      'POST',
      '/configuration/changes',
      {
        author: 'experiment',
        changeIdentifier,
        documentText,
        expectedRevision: revision ?? 0,
        reason: 'experiment',
      },
    );
    if (answer.status < 300) {
      return;
    }
    lastAnswer = JSON.stringify(answer.body);
    await delay(RETRY_DELAY_MILLISECONDS);
  }
  throw new Error(`The voters did not accept the change: ${lastAnswer}`);
}
