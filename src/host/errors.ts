/**
 * The texts of errors in log lines. Separate from `log`, so that daemons with another logger needn't load it.
 * @module
 */

/** The message of an error, for a log line. */
export function messageOf(err: unknown): string {
  return err instanceof Error ? err.message : String(err);
}
