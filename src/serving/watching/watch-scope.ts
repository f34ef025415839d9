/**
 * Chooses the prefixes by which the store is watched: one that all documents of interest have in common costs a single call, but
 * brings the changes of all other keys as well. While these are many, each prefix of interest is watched by a call of its own.
 * @module
 */
import type * as source from "../../store/source.js";

/** Bytes of changes of no interest a second from which on each prefix is watched by itself. */
const MAX_UNUSED_BYTES_PER_S = 8000;
/** Milliseconds for which that is done before the common prefix is tried again. */
const SPLIT_MS = 60_000;
const MS_PER_S = 1000;

/** What one host watches. */
export class WatchScope {
  /** Monotonic ms until which each prefix is watched by itself. */
  private splitUntil = -Infinity;

  constructor(
    /** The prefixes of the documents of interest, and what they have in common. */
    private readonly prefixes: readonly string[],
    private readonly common: string,
  ) {}

  /** The prefixes to watch at the monotonic ms `now`. */
  at(now: number): readonly string[] {
    return now < this.splitUntil ? this.prefixes : [this.common];
  }

  /** Takes in the changes that came in the `ms` milliseconds before the monotonic ms `now`. */
  received(changes: readonly source.Change[], ms: number, now: number): void {
    const unused = changes.reduce((sum, c) => sum + this.unusedBytes(c), 0);
    if (unused * MS_PER_S > MAX_UNUSED_BYTES_PER_S * ms) this.splitUntil = now + SPLIT_MS;
  }

  private unusedBytes(c: source.Change): number {
    const { key, text } = c.kind === "written" ? c.document : { key: c.key, text: "" };
    return this.prefixes.some((p) => key.startsWith(p)) ? 0 : key.length + text.length;
  }
}

/**
 * Waits for changes after a position to keys with any of some prefixes, none of which begins another one. Changes after the
 * position of the result may be among them, and come again with the next call.
 */
export async function waitForChanges(
  from: Pick<source.Source, "waitForChanges">,
  prefixes: readonly string[],
  after: Parameters<source.Source["waitForChanges"]>[1],
  waitMs: number,
  signal?: AbortSignal,
): Promise<source.ChangesResult> {
  const results = await Promise.all(
    prefixes.map((p) => from.waitForChanges(p, after, waitMs, signal)),
  );
  return results.reduce((a, b) => {
    if (a.kind === "compacted" || b.kind === "compacted") return { kind: "compacted" };
    const position = a.position.earlier(b.position);
    return { kind: "changes", changes: [...a.changes, ...b.changes], position };
  });
}
