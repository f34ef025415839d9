/**
 * Errors as log lines tell them. Apart from the logs themselves, so that daemons that write their lines in
 * another way need not load these.
 * @module
 */

/** An error's text for a log line. */
export function why(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
