/**
 * Applies a change to the intent and reports the outcome: in force, accepted, refused or unknown.
 * @module
 */
import * as crypto from "node:crypto";
import * as util from "node:util";
import * as intents from "../contract/intent.js";
import * as objects from "../contract/objects.js";
import * as clock from "../host/clock.js";
import * as errors from "../host/errors.js";
import type * as control from "../link/control.js";
import type * as hosts from "../store/hosts.js";
import * as journal from "../store/journal.js";
import type * as store from "../store/store.js";

/** The change that an operator requests: objects to create or replace, and keys to delete. */
export interface Wish {
  readonly puts: readonly objects.Obj[];
  readonly deletes: readonly string[];
}

/** What the operations need from their surroundings. */
export interface Deps {
  readonly clock: clock.Clock;
  readonly store: store.Store;
  readonly hosts: hosts.Hosts;
  /** Connects to the control interface of a daemon. */
  readonly peer: (m: hosts.Member) => control.Peer;
  /** Name of the operator, recorded in the history. */
  readonly by: string;
  /** Milliseconds to wait for a change to be in force at every listed daemon. */
  readonly waitMs: number;
  /** Milliseconds between two polls of the daemons while waiting. */
  readonly lookMs: number;
}

/** The difference between the current and the requested version of one object; undefined stands for no object. */
export interface Difference {
  readonly key: string;
  readonly now: objects.Obj | undefined;
  readonly wished: objects.Obj | undefined;
}

/** The outcome of applying a change. */
export type Applied =
  | { readonly kind: "unchanged"; readonly revision: number }
  | { readonly kind: "in_force"; readonly revision: number; readonly ms: number }
  /** Stored, but the daemons in `missing` have not yet reported it in force. */
  | { readonly kind: "accepted"; readonly revision: number; readonly missing: readonly string[] }
  /** Another operator changed the same objects concurrently: `now` is their version, `wished` is ours. */
  | { readonly kind: "refused"; readonly differences: readonly Difference[] }
  /** The newest revision in the store is older than one that is in force at a daemon. */
  | { readonly kind: "store_behind"; readonly store: number; readonly daemons: number }
  /**
   * It is not known whether the change was stored: the reply to the write was lost, or the intent
   * changed on every attempt.
   */
  | {
      readonly kind: "unknown";
      readonly revision: number;
      readonly id: string;
      readonly why: string;
    };

/** Returns the objects that `wish` would change or delete in the intent. */
export function differences(now: intents.Intent, wish: Wish): readonly Difference[] {
  const changed = wish.puts
    .map((o) => ({ key: objects.keyOf(o), now: now.objects.get(objects.keyOf(o)), wished: o }))
    .filter((d) => !util.isDeepStrictEqual(d.now, d.wished));
  const gone = wish.deletes
    .filter((key) => now.objects.has(key))
    .map((key) => ({ key, now: now.objects.get(key), wished: undefined }));
  return [...changed, ...gone];
}

/** Attempts to write a change while other operators change other objects. */
const MAX_ATTEMPTS = 5;

/** Applies `wish` to the newest intent in the store, and waits for it to be in force. */
export async function apply(wish: Wish, deps: Deps): Promise<Applied> {
  let base = await journal.catchUp(deps.store, intents.EMPTY);
  const newestRevision = await newestDaemonRevision(deps);
  if (newestRevision > base.revision) {
    // A daemon may have received a change that was stored after the read above.
    base = await journal.catchUp(deps.store, base);
    if (newestRevision > base.revision) {
      return { kind: "store_behind", store: base.revision, daemons: newestRevision };
    }
  }
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    const diffs = differences(base, wish);
    if (diffs.length === 0) return { kind: "unchanged", revision: base.revision };
    const change = changesetFor(diffs, base, deps);
    const startedAt = deps.clock.mono();
    const added = await journal.append(deps.store, change);
    switch (added.kind) {
      case "accepted":
        await journal.writeSnapshotIfDue(deps.store, intents.step(base, change)).catch(() => false);
        return inForce(added.revision, startedAt, deps);
      case "unknown":
        return { kind: "unknown", revision: change.revision, id: change.id, why: added.why };
      case "conflict": {
        const newer = await journal.catchUp(deps.store, base);
        const conflicts = diffs.filter(
          (d) => !util.isDeepStrictEqual(d.now, newer.objects.get(d.key)),
        );
        if (conflicts.length > 0) return refusedResult(conflicts, newer);
        base = newer;
        break;
      }
    }
  }
  return {
    kind: "unknown",
    revision: base.revision,
    id: "",
    why: "the intent changed again on every attempt",
  };
}

function refusedResult(conflicts: readonly Difference[], newer: intents.Intent): Applied {
  return {
    kind: "refused",
    differences: conflicts.map((d) => ({ ...d, now: newer.objects.get(d.key) })),
  };
}

function changesetFor(
  diffs: readonly Difference[],
  base: intents.Intent,
  deps: Deps,
): intents.Changeset {
  return {
    revision: base.revision + 1,
    at: deps.clock.now().toISOString(),
    by: deps.by,
    id: crypto.randomUUID(),
    previous: base.id,
    puts: diffs.flatMap((d) => (d.wished ? [d.wished] : [])),
    deletes: diffs.flatMap((d) => (d.wished ? [] : [d.key])),
  };
}

/** Stands for the daemons where the list of hosts cannot be read. */
const UNLISTED = "hosts that could not be listed";

/**
 * The revision in force at each listed daemon, by name; -1 for a daemon that does not answer. Throws if the hosts cannot
 * be listed.
 */
async function daemonRevisions(deps: Deps): Promise<ReadonlyMap<string, number>> {
  const members = await deps.hosts.list();
  const entries = await Promise.all(
    members.map(async (m) => {
      const status = await deps
        .peer(m)
        .status.query()
        .catch(() => undefined);
      return [m.name, status?.revision ?? -1] as const;
    }),
  );
  return new Map(entries);
}

async function newestDaemonRevision(deps: Deps): Promise<number> {
  return Math.max(0, ...(await daemonRevisions(deps)).values());
}

/**
 * Waits until every listed daemon has `revision` in force, at most `waitMs` from `startedAt`, a time
 * of the monotonic clock.
 */
export async function inForce(revision: number, startedAt: number, deps: Deps): Promise<Applied> {
  for (;;) {
    const missing = await daemonsBehind(revision, deps);
    const ms = deps.clock.mono() - startedAt;
    if (missing.length === 0) return { kind: "in_force", revision, ms: Math.round(ms) };
    if (ms >= deps.waitMs) return { kind: "accepted", revision, missing };
    await clock.sleep(deps.clock, deps.lookMs);
  }
}

/** The listed daemons that are behind `revision`; {@link UNLISTED} if the hosts cannot be listed. */
async function daemonsBehind(revision: number, deps: Deps): Promise<readonly string[]> {
  try {
    const revisions = await daemonRevisions(deps);
    return [...revisions].filter(([, r]) => r < revision).map(([name]) => name);
  } catch (err) {
    return [`${UNLISTED}: ${errors.messageOf(err)}`];
  }
}

/** Resolves an `unknown` outcome: whether the changeset `id` was stored as `revision`. */
export async function settle(
  revision: number,
  id: string,
  deps: Deps,
): Promise<"accepted" | "not_accepted"> {
  const [recorded] = await journal.readAfter(deps.store, revision - 1);
  return recorded?.revision === revision && recorded.id === id ? "accepted" : "not_accepted";
}

/**
 * Writes the changes that the store lost back to it, from the daemon with the newest intent. Returns
 * the resulting revision of the store.
 */
export async function restore(deps: Deps): Promise<number> {
  const newestFirst = [...(await daemonRevisions(deps))].sort((a, b) => b[1] - a[1]);
  const newestMember = (await deps.hosts.list()).find((m) => m.name === newestFirst[0]?.[0]);
  const base = await journal.catchUp(deps.store, intents.EMPTY);
  if (!newestMember) return base.revision;
  let storeRevision = base.revision;
  for (;;) {
    const page = await deps.peer(newestMember).changesAfter.query({ revision: storeRevision });
    if (page.kind === "whole") {
      await journal.replaceIntent(deps.store, {
        revision: page.revision,
        id: page.id,
        objects: new Map(page.objects.map((o) => [objects.keyOf(o), o])),
      });
      return page.revision;
    }
    if (page.changes.length === 0) return storeRevision;
    for (const change of page.changes) {
      const added = await journal.append(deps.store, change);
      if (added.kind !== "accepted") {
        throw new Error(`revision ${change.revision} could not be written back: ${added.kind}`);
      }
      storeRevision = change.revision;
    }
  }
}
