/**
 * HTTP routes on which the local backend server announces itself to its daemon.
 */

import type {MembershipService} from '../membership/MembershipService.js';
import type {HttpBindings} from '@hono/node-server';
import type {Failure} from 'jackdawcove-shared';

import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {announcementSchema, withdrawalSchema} from 'jackdawcove-membership';
import {createFailure, RESULT_CODES} from 'jackdawcove-shared';

import {ANNOUNCEMENT_BYTES} from './DataPlaneConstants.js';

type Routes = Hono<{Bindings: HttpBindings}>;

function createFailureResponse({detail, result}: Failure): Response {
  const {description, httpStatus, name, number} = RESULT_CODES[result];
  const body = {description, detail, name, number};
  return Response.json(body, {status: httpStatus});
}

async function readJson(request: Request): Promise<unknown> {
  try {
    return await request.json();
  } catch {
    return undefined;
  }
}

/**
 * Creates the routes `PUT` and `DELETE /jackdaw/announcement`.
 *
 * @example
 * serveCalls(server, {...options, routes: createAnnouncementRoutes(membership)});
 */
export function createAnnouncementRoutes(
  membership: MembershipService,
): Routes {
  const routes: Routes = new Hono();
  routes.use(
    bodyLimit({
      maxSize: ANNOUNCEMENT_BYTES,
      onError: () => createFailureResponse(createFailure('payloadTooLarge')),
    }),
  );
  routes.put('/announcement', async ({req}) => {
    const parsed = announcementSchema.safeParse(await readJson(req.raw));
    if (!parsed.success) {
      const detail = parsed.error.issues.map(describeIssue).join('; ');
      return createFailureResponse(
        createFailure('invalidAnnouncement', detail),
      );
    }
    return membership.announce(parsed.data).match({
      Err: createFailureResponse,
      Ok: (lease) => Response.json(lease),
    });
  });
  routes.delete('/announcement', async ({req}) => {
    const parsed = withdrawalSchema.safeParse(await readJson(req.raw));
    if (!parsed.success) {
      return createFailureResponse(createFailure('invalidAnnouncement'));
    }
    return membership.withdraw(parsed.data).match({
      Err: createFailureResponse,
      Ok: () => new Response(null, {status: 204}),
    });
  });
  return routes;
}

function describeIssue(issue: {
  readonly message: string;
  readonly path: readonly PropertyKey[];
}): string {
  return `${issue.path.map(String).join('.')}: ${issue.message}`;
}
