/** Instances of a play, and the choice among them. */

import type {WaitingRequest} from '../server/InstanceAdmission.js';
import type {PlayClock} from './PlayClock.js';

import {InstanceAdmission} from '../server/InstanceAdmission.js';

/** Creates the admissions of the instances of one service. */
export function createAdmissions<Call extends WaitingRequest>(
  count: number,
  slots: number,
): readonly InstanceAdmission<Call>[] {
  return Array.from({length: count}, () => {
    const admission = new InstanceAdmission<Call>(0);
    admission.setSlots(slots);
    return admission;
  });
}

/** Chooses the instance with fewer requests of two random ones. */
export function chooseAdmission<Call extends WaitingRequest>(
  admissions: readonly InstanceAdmission<Call>[],
  clock: PlayClock,
): InstanceAdmission<Call> {
  const first = clock.pick(admissions);
  const second = clock.pick(admissions);
  return getCount(first, clock) <= getCount(second, clock) ? first : second;
}

function getCount<Call extends WaitingRequest>(
  admission: InstanceAdmission<Call>,
  {now}: PlayClock,
): number {
  const {queued, running} = admission.getLoad(now);
  return queued + running;
}
