/**
 * How the intent is kept in the store: a head, a log of changesets, and from time to time a snapshot
 * in several parts. A change of any size is one compare-and-swap of the head, and one event for a watch.
 * @module
 */
import * as zod from "zod";
import * as intent from "../contract/intent.js";
import * as objects from "../contract/objects.js";
import * as outcome from "../request/outcome.js";
import type * as store from "./store.js";

/** Prefix of all keys that the system writes. */
export const KEY_PREFIX = "/sumacfield/";
/** Key of the head. */
export const HEAD_KEY = `${KEY_PREFIX}intent/head`;
const LOG_PREFIX = `${KEY_PREFIX}intent/log/`;
const SNAPSHOT_PREFIX = `${KEY_PREFIX}intent/snapshot/`;
/** Width to which numbers in keys are zero-padded, so that keys sort by number. */
const KEY_DIGITS = 12;
/** Maximum number of changesets read in one call. */
const PAGE_SIZE = 64;
/**
 * Maximum length of a changeset or of one part of a snapshot, in characters of JSON. The store accepts
 * values of up to one megabyte.
 */
export const MAX_VALUE_LENGTH = 900_000;
/** Number of changesets since the last snapshot after which the next writer makes another. */
export const SNAPSHOT_INTERVAL = 200;

const headSchema = zod.object({
  revision: zod.int().nonnegative(),
  /** `id` of the changeset that made the revision. */
  id: zod.string().default(""),
  snapshot: zod.object({ revision: zod.int(), id: zod.string(), parts: zod.int() }).optional(),
});
/** The newest revision, and the revision and number of parts of the newest snapshot. */
export type Head = zod.infer<typeof headSchema>;

const logKey = (revision: number): string =>
  LOG_PREFIX + String(revision).padStart(KEY_DIGITS, "0");
const partKey = (revision: number, part: number): string =>
  `${SNAPSHOT_PREFIX}${String(revision).padStart(KEY_DIGITS, "0")}/${String(part).padStart(KEY_DIGITS, "0")}`;

/** Parses the head from the value under {@link HEAD_KEY}. */
export function parseHead(value: string): Head {
  return headSchema.parse(JSON.parse(value));
}

/**
 * Reads the head and its revision in the store, which a compare needs. The revision is 0 when nothing
 * was ever applied.
 */
export async function readHead(
  st: store.Store,
): Promise<{ readonly head: Head; readonly revision: number }> {
  const entry = await st.read(HEAD_KEY);
  if (!entry) return { head: { revision: 0, id: "" }, revision: 0 };
  return { head: parseHead(entry.value), revision: entry.revision };
}

/** Reads one page of the changesets after `revision`, oldest first. */
export async function readAfter(
  st: store.Store,
  revision: number,
): Promise<readonly intent.Changeset[]> {
  const entries = await st.range(LOG_PREFIX, PAGE_SIZE, logKey(revision));
  return entries.map((e) => intent.changeset.parse(JSON.parse(e.value)));
}

/**
 * Advances `from` to the store's head. Starts at the newest snapshot if that is newer than `from`, since
 * the log may not reach back that far.
 */
export async function catchUp(st: store.Store, from: intent.Intent): Promise<intent.Intent> {
  const { head } = await readHead(st);
  let current = from;
  if (head.snapshot && head.snapshot.revision > current.revision) {
    current = await readSnapshot(st, head.snapshot);
  }
  while (current.revision < head.revision) {
    const page = await readAfter(st, current.revision);
    if (page.length === 0) break;
    current = page.reduce(intent.step, current);
  }
  return current;
}

async function readSnapshot(
  st: store.Store,
  pointer: NonNullable<Head["snapshot"]>,
): Promise<intent.Intent> {
  const found = new Map<string, objects.Obj>();
  for (let part = 0; part < pointer.parts; part++) {
    const entry = await st.read(partKey(pointer.revision, part));
    if (!entry)
      throw new RangeError(
        `part ${part} of the snapshot at revision ${pointer.revision} is missing`,
      );
    for (const o of zod.array(objects.schema).parse(JSON.parse(entry.value))) {
      found.set(objects.keyOf(o), o);
    }
  }
  return { revision: pointer.revision, id: pointer.id, objects: found };
}

/** The result of an attempt to append a changeset. */
export type AppendResult =
  | { readonly kind: "accepted"; readonly revision: number }
  /** The changeset does not follow the head; `head` is the head's revision. */
  | { readonly kind: "conflict"; readonly head: number }
  /** The store answered neither the write nor the read that followed; `apply` tells operators how to find out. */
  | { readonly kind: "unknown"; readonly why: string };

/**
 * Appends a changeset that follows revision `change.revision - 1`. After a lost reply, reads the log to
 * find out whether this attempt was written.
 */
export async function append(st: store.Store, change: intent.Changeset): Promise<AppendResult> {
  const value = JSON.stringify(change);
  if (value.length > MAX_VALUE_LENGTH) {
    throw new RangeError(
      `the changeset has ${value.length} bytes, more than the ${MAX_VALUE_LENGTH} that the store accepts for one key; split it into several`,
    );
  }
  try {
    const { head, revision } = await readHead(st);
    if (head.revision !== change.revision - 1 || head.id !== change.previous) {
      return { kind: "conflict", head: head.revision };
    }
    const next: Head = { ...head, revision: change.revision, id: change.id };
    const result = await st.commit({
      compares: [{ key: HEAD_KEY, revision }],
      puts: [
        { key: HEAD_KEY, value: JSON.stringify(next) },
        { key: logKey(change.revision), value },
      ],
    });
    if (result.ok) return { kind: "accepted", revision: change.revision };
    return await checkAppended(st, change);
  } catch (err) {
    if (!(err instanceof outcome.StepError)) throw err;
    return checkAppended(st, change).catch(() => ({ kind: "unknown", why: err.message }) as const);
  }
}

/** Reads the log to find out whether `change` was appended, after a reply was lost. */
export async function checkAppended(
  st: store.Store,
  change: intent.Changeset,
): Promise<AppendResult> {
  const entry = await st.read(logKey(change.revision));
  if (entry && intent.changeset.parse(JSON.parse(entry.value)).id === change.id) {
    return { kind: "accepted", revision: change.revision };
  }
  const { head } = await readHead(st);
  return { kind: "conflict", head: head.revision };
}

/**
 * Writes a snapshot of `current` and points the head to it, if the last snapshot is at least `every`
 * revisions older. Returns whether it was written.
 */
export async function writeSnapshotIfDue(
  st: store.Store,
  current: intent.Intent,
  every = SNAPSHOT_INTERVAL,
): Promise<boolean> {
  const { head, revision } = await readHead(st);
  const since = current.revision - (head.snapshot?.revision ?? 0);
  if (since < every || head.revision < current.revision) return false;
  return writeSnapshot(st, current, head, revision);
}

/**
 * Replaces the intent in the store by `current`, as after the store lost data. Does nothing and returns
 * false if the store has a newer revision.
 */
export async function replaceIntent(st: store.Store, current: intent.Intent): Promise<boolean> {
  const { head, revision } = await readHead(st);
  if (head.revision > current.revision) return false;
  return writeSnapshot(st, current, { revision: current.revision, id: current.id }, revision);
}

/** Writes a snapshot in parts, then `head` with a pointer to it. Returns false if the head has changed meanwhile. */
async function writeSnapshot(
  st: store.Store,
  current: intent.Intent,
  head: Head,
  revision: number,
): Promise<boolean> {
  const parts = splitIntoParts([...current.objects.values()]);
  for (const [i, value] of parts.entries()) {
    await st.commit({ compares: [], puts: [{ key: partKey(current.revision, i), value }] });
  }
  const next: Head = {
    ...head,
    snapshot: { revision: current.revision, id: current.id, parts: parts.length },
  };
  const result = await st.commit({
    compares: [{ key: HEAD_KEY, revision }],
    puts: [{ key: HEAD_KEY, value: JSON.stringify(next) }],
  });
  return result.ok;
}

/** Encodes objects as JSON arrays, each short enough for one key. */
function splitIntoParts(all: readonly objects.Obj[]): readonly string[] {
  const parts: string[] = [];
  let part: string[] = [];
  let size = 0;
  for (const o of all) {
    const text = JSON.stringify(o);
    if (size + text.length > MAX_VALUE_LENGTH) {
      parts.push(`[${part.join(",")}]`);
      part = [];
      size = 0;
    }
    part.push(text);
    size += text.length + 1;
  }
  parts.push(`[${part.join(",")}]`);
  return parts;
}
