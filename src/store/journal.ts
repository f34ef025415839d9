/**
 * The intent as the store keeps it: a head, a log of changesets, and now and then a snapshot in
 * parts. One change is one compare-and-swap of the head whatever its size, and one event to a watch.
 * @module
 */
import * as zod from "zod";
import * as intent from "../contract/intent.js";
import * as objects from "../contract/objects.js";
import * as outcome from "../request/outcome.js";
import type * as store from "./store.js";

/** Prefix of everything the system keeps. */
export const ROOT = "/sumacfield/";
export const HEAD = `${ROOT}intent/head`;
const LOG = `${ROOT}intent/log/`;
const SNAPSHOT = `${ROOT}intent/snapshot/`;
const DIGITS = 12;
/** Changesets read in one call. */
const PAGE = 64;
/** The store takes values of up to a megabyte; parts and changesets stay below it. */
export const VALUE_LIMIT = 900_000;
/** Changesets after which the next writer leaves a snapshot. */
export const SNAPSHOT_EVERY = 200;

const headSchema = zod.object({
  revision: zod.int().nonnegative(),
  /** `id` of the changeset that made the revision. */
  id: zod.string().default(""),
  snapshot: zod.object({ revision: zod.int(), id: zod.string(), parts: zod.int() }).optional(),
});
/** The newest revision, and where the newest snapshot is. */
export type Head = zod.infer<typeof headSchema>;

const logKey = (revision: number): string => LOG + String(revision).padStart(DIGITS, "0");
const partKey = (revision: number, part: number): string =>
  `${SNAPSHOT}${String(revision).padStart(DIGITS, "0")}/${String(part).padStart(DIGITS, "0")}`;

/** Reads the head from the value under {@link HEAD}. */
export function parseHead(value: string): Head {
  return headSchema.parse(JSON.parse(value));
}

/** The head and the store's revision of it, for a compare; revision 0 when nothing was ever applied. */
export async function readHead(
  st: store.Store,
): Promise<{ readonly head: Head; readonly revision: number }> {
  const entry = await st.read(HEAD);
  if (!entry) return { head: { revision: 0, id: "" }, revision: 0 };
  return { head: parseHead(entry.value), revision: entry.revision };
}

/** Changesets after `revision`, oldest first, one page of them. */
export async function readAfter(
  st: store.Store,
  revision: number,
): Promise<readonly intent.Changeset[]> {
  const entries = await st.range(LOG, PAGE, logKey(revision));
  return entries.map((e) => intent.changeset.parse(JSON.parse(e.value)));
}

/** Brings `from` up to the store's head; by the snapshot where the log no longer reaches back. */
export async function catchUp(st: store.Store, from: intent.Intent): Promise<intent.Intent> {
  const { head } = await readHead(st);
  let now = from;
  if (head.snapshot && head.snapshot.revision > now.revision) {
    now = await readSnapshot(st, head.snapshot);
  }
  while (now.revision < head.revision) {
    const page = await readAfter(st, now.revision);
    if (page.length === 0) break;
    now = page.reduce(intent.step, now);
  }
  return now;
}

async function readSnapshot(
  st: store.Store,
  at: NonNullable<Head["snapshot"]>,
): Promise<intent.Intent> {
  const found = new Map<string, objects.Obj>();
  for (let part = 0; part < at.parts; part++) {
    const entry = await st.read(partKey(at.revision, part));
    if (!entry) throw new RangeError(`part ${part} of the snapshot at ${at.revision} is missing`);
    for (const o of zod.array(objects.schema).parse(JSON.parse(entry.value))) {
      found.set(objects.keyOf(o), o);
    }
  }
  return { revision: at.revision, id: at.id, objects: found };
}

/** What became of an attempt to add a changeset. */
export type Added =
  | { readonly kind: "accepted"; readonly revision: number }
  | { readonly kind: "conflict"; readonly head: number }
  /** The store did not answer, before and after; `apply` says how to settle it. */
  | { readonly kind: "unknown"; readonly why: string };

/**
 * Adds a changeset that follows revision `change.revision - 1`. After a lost reply the log is read
 * to tell whether this very attempt was written.
 */
export async function add(st: store.Store, change: intent.Changeset): Promise<Added> {
  const value = JSON.stringify(change);
  if (value.length > VALUE_LIMIT) {
    throw new RangeError(
      `the changeset has ${value.length} bytes, over the ${VALUE_LIMIT} that the store holds under one key; apply it in parts`,
    );
  }
  try {
    const { head, revision } = await readHead(st);
    if (head.revision !== change.revision - 1 || head.id !== change.previous) {
      return { kind: "conflict", head: head.revision };
    }
    const next: Head = { ...head, revision: change.revision, id: change.id };
    const done = await st.commit({
      compares: [{ key: HEAD, revision }],
      puts: [
        { key: HEAD, value: JSON.stringify(next) },
        { key: logKey(change.revision), value },
      ],
    });
    if (done.ok) return { kind: "accepted", revision: change.revision };
    return await settle(st, change);
  } catch (err) {
    if (!(err instanceof outcome.StepError)) throw err;
    return settle(st, change).catch(() => ({ kind: "unknown", why: err.message }) as const);
  }
}

/** Whether `change` stands in the log; read after a reply was lost. */
export async function settle(st: store.Store, change: intent.Changeset): Promise<Added> {
  const there = await st.read(logKey(change.revision));
  if (there && intent.changeset.parse(JSON.parse(there.value)).id === change.id) {
    return { kind: "accepted", revision: change.revision };
  }
  const { head } = await readHead(st);
  return { kind: "conflict", head: head.revision };
}

/** Writes a snapshot of `now` when the last one is old, and points the head to it. */
export async function snapshot(
  st: store.Store,
  now: intent.Intent,
  every = SNAPSHOT_EVERY,
): Promise<boolean> {
  const { head, revision } = await readHead(st);
  const since = now.revision - (head.snapshot?.revision ?? 0);
  if (since < every || head.revision < now.revision) return false;
  return point(st, now, head, revision);
}

/** Makes `now` the whole of what the store holds, as after a loss; never an older revision. */
export async function replace(st: store.Store, now: intent.Intent): Promise<boolean> {
  const { head, revision } = await readHead(st);
  if (head.revision > now.revision) return false;
  return point(st, now, { revision: now.revision, id: now.id }, revision);
}

async function point(
  st: store.Store,
  now: intent.Intent,
  head: Head,
  revision: number,
): Promise<boolean> {
  const parts = split([...now.objects.values()]);
  for (const [i, value] of parts.entries()) {
    await st.commit({ compares: [], puts: [{ key: partKey(now.revision, i), value }] });
  }
  const next: Head = {
    ...head,
    snapshot: { revision: now.revision, id: now.id, parts: parts.length },
  };
  const done = await st.commit({
    compares: [{ key: HEAD, revision }],
    puts: [{ key: HEAD, value: JSON.stringify(next) }],
  });
  return done.ok;
}

function split(all: readonly objects.Obj[]): readonly string[] {
  const parts: string[] = [];
  let part: string[] = [];
  let size = 0;
  for (const o of all) {
    const text = JSON.stringify(o);
    if (size + text.length > VALUE_LIMIT) {
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
