/**
 * Applies a change to the intent, and tells what is true of it afterwards.
 * @module
 */
import * as crypto from "node:crypto";
import * as util from "node:util";
import * as intents from "../contract/intent.js";
import * as objects from "../contract/objects.js";
import * as clock from "../host/clock.js";
import type * as control from "../link/control.js";
import type * as hosts from "../store/hosts.js";
import * as journal from "../store/journal.js";
import type * as store from "../store/store.js";

/** What an operator wants: objects to be as given, and keys to be gone. */
export interface Wish {
  readonly puts: readonly objects.Obj[];
  readonly deletes: readonly string[];
}

export interface Deps {
  readonly clock: clock.Clock;
  readonly store: store.Store;
  readonly hosts: hosts.Hosts;
  readonly peer: (m: hosts.Member) => control.Peer;
  /** Name of whoever applies, for the history. */
  readonly by: string;
  /** Milliseconds to wait for the change to be in force everywhere. */
  readonly waitMs: number;
  /** Milliseconds between looks at the daemons meanwhile. */
  readonly lookMs: number;
}

/** How one object differs: as it is, and as it is wished. */
export interface Difference {
  readonly key: string;
  readonly now: objects.Obj | undefined;
  readonly wished: objects.Obj | undefined;
}

/** What is true after an attempt to apply. */
export type Applied =
  | { readonly kind: "unchanged"; readonly revision: number }
  | { readonly kind: "in_force"; readonly revision: number; readonly ms: number }
  /** Accepted, but not yet seen in force at these daemons. */
  | { readonly kind: "accepted"; readonly revision: number; readonly missing: readonly string[] }
  /** Somebody else changed the same objects meanwhile: theirs against ours. */
  | { readonly kind: "refused"; readonly differences: readonly Difference[] }
  /** The store holds less than what is in force at a daemon. */
  | { readonly kind: "store_behind"; readonly store: number; readonly daemons: number }
  /** The reply was lost, and the store does not tell. */
  | {
      readonly kind: "unknown";
      readonly revision: number;
      readonly id: string;
      readonly why: string;
    };

/** The differences between the intent and a wish. */
export function differences(now: intents.Intent, wish: Wish): readonly Difference[] {
  const changed = wish.puts
    .map((o) => ({ key: objects.keyOf(o), now: now.objects.get(objects.keyOf(o)), wished: o }))
    .filter((d) => !util.isDeepStrictEqual(d.now, d.wished));
  const gone = wish.deletes
    .filter((key) => now.objects.has(key))
    .map((key) => ({ key, now: now.objects.get(key), wished: undefined }));
  return [...changed, ...gone];
}

const TRIES = 5;

/** Applies a wish against the newest intent in the store. */
export async function apply(wish: Wish, deps: Deps): Promise<Applied> {
  let base = await journal.catchUp(deps.store, intents.EMPTY);
  const ahead = await newestDaemon(deps);
  if (ahead > base.revision) {
    // A daemon may have heard of a change after the store was read here.
    base = await journal.catchUp(deps.store, base);
    if (ahead > base.revision) {
      return { kind: "store_behind", store: base.revision, daemons: ahead };
    }
  }
  for (let i = 0; i < TRIES; i++) {
    const wanted = differences(base, wish);
    if (wanted.length === 0) return { kind: "unchanged", revision: base.revision };
    const change = changesetFor(wanted, base, deps);
    const began = deps.clock.mono();
    const added = await journal.add(deps.store, change);
    switch (added.kind) {
      case "accepted":
        await journal.snapshot(deps.store, intents.step(base, change)).catch(() => false);
        return inForce(added.revision, began, deps);
      case "unknown":
        return { kind: "unknown", revision: change.revision, id: change.id, why: added.why };
      case "conflict": {
        const newer = await journal.catchUp(deps.store, base);
        const touched = wanted.filter(
          (d) => !util.isDeepStrictEqual(d.now, newer.objects.get(d.key)),
        );
        if (touched.length > 0) return refusal(touched, newer);
        base = newer;
        break;
      }
    }
  }
  return {
    kind: "unknown",
    revision: base.revision,
    id: "",
    why: "others kept changing the intent",
  };
}

function refusal(touched: readonly Difference[], newer: intents.Intent): Applied {
  return {
    kind: "refused",
    differences: touched.map((d) => ({ ...d, now: newer.objects.get(d.key) })),
  };
}

function changesetFor(
  wanted: readonly Difference[],
  base: intents.Intent,
  deps: Deps,
): intents.Changeset {
  return {
    revision: base.revision + 1,
    at: deps.clock.now().toISOString(),
    by: deps.by,
    id: crypto.randomUUID(),
    previous: base.id,
    puts: wanted.flatMap((d) => (d.wished ? [d.wished] : [])),
    deletes: wanted.flatMap((d) => (d.wished ? [] : [d.key])),
  };
}

async function revisions(deps: Deps): Promise<ReadonlyMap<string, number>> {
  const listed = await deps.hosts.list().catch(() => []);
  const told = await Promise.all(
    listed.map(async (m) => {
      const status = await deps
        .peer(m)
        .status.query()
        .catch(() => undefined);
      return [m.name, status?.revision ?? -1] as const;
    }),
  );
  return new Map(told);
}

async function newestDaemon(deps: Deps): Promise<number> {
  return Math.max(0, ...(await revisions(deps)).values());
}

/** Waits until every listed daemon has `revision` in force, or the patience is over. */
export async function inForce(revision: number, began: number, deps: Deps): Promise<Applied> {
  for (;;) {
    const told = await revisions(deps);
    const missing = [...told].filter(([, r]) => r < revision).map(([name]) => name);
    const ms = deps.clock.mono() - began;
    if (missing.length === 0) return { kind: "in_force", revision, ms: Math.round(ms) };
    if (ms >= deps.waitMs) return { kind: "accepted", revision, missing };
    await clock.sleep(deps.clock, deps.lookMs);
  }
}

/** Settles an `unknown`: whether the changeset `id` became `revision`. */
export async function settle(
  revision: number,
  id: string,
  deps: Deps,
): Promise<"accepted" | "not_accepted"> {
  const [there] = await journal.readAfter(deps.store, revision - 1);
  return there?.revision === revision && there.id === id ? "accepted" : "not_accepted";
}

/**
 * Writes back what a store lost, from the daemon with the newest intent. Returns the revision that
 * the store is at afterwards.
 */
export async function restore(deps: Deps): Promise<number> {
  const told = [...(await revisions(deps))].sort((a, b) => b[1] - a[1]);
  const best = (await deps.hosts.list()).find((m) => m.name === told[0]?.[0]);
  const base = await journal.catchUp(deps.store, intents.EMPTY);
  if (!best) return base.revision;
  let at = base.revision;
  for (;;) {
    const page = await deps.peer(best).changesAfter.query({ revision: at });
    if (page.kind === "whole") {
      await journal.replace(deps.store, {
        revision: page.revision,
        id: page.id,
        objects: new Map(page.objects.map((o) => [objects.keyOf(o), o])),
      });
      return page.revision;
    }
    if (page.changes.length === 0) return at;
    for (const change of page.changes) {
      const added = await journal.add(deps.store, change);
      if (added.kind !== "accepted") {
        throw new Error(`revision ${change.revision} could not be written back: ${added.kind}`);
      }
      at = change.revision;
    }
  }
}
