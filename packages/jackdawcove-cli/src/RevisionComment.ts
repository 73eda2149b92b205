/**
 * Comment that records the revision a document was taken from. `configuration
 * get` writes it, and `configuration apply` expects that revision, so that an
 * edit of an outdated document is rejected instead of undoing another change.
 */

const REVISION_COMMENT_PATTERN = /^; taken from revision (\d{1,15})[^\S\n]*$/m;
const REVISION_COMMENT_LINES_PATTERN =
  /^; taken from revision \d{1,15}[^\S\n]*(\n|$)/gm;

/**
 * Formats the comment.
 *
 * @example
 * formatRevisionComment(7); // '; taken from revision 7'
 */
export function formatRevisionComment(revision: number): string {
  return `; taken from revision ${String(revision)}`;
}

/**
 * Returns the revision that a document was taken from, or undefined if the
 * document has no such comment.
 *
 * @example
 * findRevisionComment('; taken from revision 7\n[defaults]'); // 7
 */
export function findRevisionComment(text: string): number | undefined {
  const revision = REVISION_COMMENT_PATTERN.exec(text)?.[1];
  return revision === undefined ? undefined : Number(revision);
}

/**
 * Removes the comment, so that an accepted document never contains an outdated
 * one.
 *
 * @example
 * removeRevisionComment('; taken from revision 7\n[defaults]'); // '[defaults]'
 */
export function removeRevisionComment(text: string): string {
  return text.replaceAll(REVISION_COMMENT_LINES_PATTERN, '');
}
