/**
 * What callers, workers and the soak itself saw, and which promises it breaks. It knows the pages'
 * promises and shares no code with the daemons.
 * @module
 */
import type * as journals from "../platform/journal.js";
import * as workers from "../platform/worker.js";
import * as disturbances from "./disturbances.js";
import * as notices from "./notices.js";
import * as retries from "./retries.js";
import * as site from "./site.js";
import * as teams from "./teams.js";

/** Kinds of requests, and what each of them promises. */
export type Kind = "stream" | "stream_once" | "call" | "call_once";

/** One request as its caller saw it. */
export interface Seen {
  readonly id: string;
  readonly kind: Kind;
  readonly entry: string;
  readonly path: string;
  /** Adapter, or empty for a call to a plain service. */
  readonly adapter: string;
  /** Key that it carried. */
  readonly key: string;
  readonly body: string;
  readonly waitMs: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Newest version of the adapter that was declared some time before it was sent. */
  readonly version: number;
  readonly end:
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly by: string;
        /** Requests a second that its worker named as its limit. */
        readonly limitPerS: number | undefined;
        /** It says that its worker leaves. */
        readonly leaving: boolean;
        readonly text: string;
      }
    /** The connection ended before the answer did; `text` is what came. */
    | { readonly kind: "broken"; readonly text: string; readonly why: string }
    /** The caller went away by itself. */
    | { readonly kind: "left" };
}

/** A change of what may be, as the operator or a worker declared it. */
export type Change =
  | { readonly kind: "route_added" | "route_removed"; readonly path: string; readonly at: number }
  | { readonly kind: "leaving"; readonly instance: string; readonly at: number };

export interface History {
  readonly seen: Seen[];
  readonly kept: journals.Journal;
  readonly disturbances: disturbances.Disturbance[];
  readonly changes: Change[];
  readonly teams: teams.Teams;
  /** What the soak itself found wrong: a daemon that ended by itself, for one. */
  readonly faults: string[];
}

/** Workers that one request may run on, by its kind. */
export const ATTEMPTS: Readonly<Record<Kind, number>> = {
  stream: 2,
  stream_once: 1,
  call: 2,
  call_once: 1,
};

/** Milliseconds after which a declared version must be in force, by the pages. */
export const VERSION_MS = 5000;
/** Paths that every configuration allows. */
const ALWAYS = new Set(["/s/", "/o/", "/c/", "/n/"]);
/** Milliseconds within which a declared change is in force on hosts in touch, by the pages. */
const IN_FORCE_MS = 2000;
/** Milliseconds by which an answer may be late against the caller's time, on a busy machine. */
const LATE_MS = 700;
/** Milliseconds before the caller's time at which an answer may be given up. */
const EARLY_MS = 60;
/** Milliseconds after a caller left within which its worker must know. */
const LEFT_MS = 900;
/** Workers that end under a request before all hosts must know, and sends beyond them that are borne, by the pages. */
const PROOFS = 3;
const BORNE = 3;
const CONTACT_MS = 3000;
/** Planned work, which may cut nothing off. */
const PLANNED = /asked to stop|settings changed/;
const REFUSALS = new Set([408, 421, 429, 503]);

/** Whether an entry daemon was out of touch with what is declared in the store. */
function outOfTouch(h: History, entry: string, from: number, to: number): boolean {
  const parts = new Set(["store", entry, storeLink(entry)]);
  return disturbances.any(h.disturbances, from, to, (d) => parts.has(d.on));
}

/** Name of the link between a daemon and the store. */
export function storeLink(daemon: string): string {
  return `${daemon} to the store`;
}

/** A request's whole answer from the version that answered; undefined when the text is none. */
function isWhole(s: Seen, text: string): boolean {
  if (s.adapter === "") return text === workers.answerOf(s.id, s.body);
  const version = Number(/@(\d+) /.exec(text)?.[1]);
  const events = Array.from({ length: workers.EVENTS }, (_, i) => i + 1);
  const pattern = events.map((n) => workers.event(s.id, s.adapter, version, n)).join("");
  // A resumed stream may go on at a newer version of the adapter.
  const plain = (t: string): string => t.replaceAll(/@\d+ /g, "@ ");
  return plain(text) === plain(pattern);
}

/** Whether the text is the beginning of the request's own answer. */
function isBeginning(s: Seen, text: string): boolean {
  if (s.adapter === "") return workers.answerOf(s.id, s.body).startsWith(text);
  const events = text.split("\n\n").slice(0, -1);
  return events.every((e, i) => e.startsWith(`id: ${i + 1}\ndata: ${s.id} ${s.adapter}@`));
}

type Check = (s: Seen, runs: readonly journals.Run[], h: History) => string | undefined;

const CHECKS: readonly Check[] = [
  function whole(s) {
    if (s.end.kind === "broken" && !isBeginning(s, s.end.text)) return "got foreign bytes";
    if (s.end.kind !== "answer" || s.end.status !== 200) return undefined;
    if (s.end.by === "") return "a success without a signature";
    return isWhole(s, s.end.text) ? undefined : `not its whole answer: ${s.end.text.slice(0, 200)}`;
  },
  function once(s, runs) {
    const only = s.kind === "call_once" || s.kind === "stream_once";
    return only && runs.length > 1 ? `ran ${runs.length} times` : undefined;
  },
  function attempts(s, runs, h) {
    const ends = runs.some((r) =>
      disturbances.any(h.disturbances, r.at, r.at + s.waitMs, (d) => d.on === r.instance),
    );
    return !ends && runs.length > ATTEMPTS[s.kind] ? `ran on ${runs.length} workers` : undefined;
  },
  function notRun(s, runs) {
    if (s.end.kind !== "answer" || !REFUSALS.has(s.end.status) || runs.length === 0)
      return undefined;
    return `was told ${s.end.status}, and ran`;
  },
  function version(s, runs, h) {
    const old = runs.find((r) => r.adapter !== "" && r.version < s.version);
    if (!old || outOfTouch(h, s.entry, s.sentAt - VERSION_MS, s.endedAt)) return undefined;
    const there = (d: disturbances.Disturbance): boolean => old.instance.startsWith(`${d.on}.`);
    if (disturbances.any(h.disturbances, s.sentAt - VERSION_MS, s.endedAt, there)) return undefined;
    return `ran on version ${old.version}, though ${s.version} was declared long before`;
  },
  function late(s, _runs, h) {
    if (s.end.kind === "left" || s.endedAt - s.sentAt < s.waitMs + LATE_MS) return undefined;
    if (disturbances.any(h.disturbances, s.sentAt, s.endedAt, (d) => d.on === s.entry))
      return undefined;
    return `had its answer after ${Math.round(s.endedAt - s.sentAt)} of ${s.waitMs} ms`;
  },
  function broken(s, runs, h) {
    if (s.end.kind !== "broken") return undefined;
    // A request may cross the close of an idle connection, if it is not passed on.
    if (runs.length === 0 && s.end.text === "") return undefined;
    // At its deadline a stream is broken off, since it must not look whole.
    if (s.endedAt - s.sentAt >= s.waitMs - EARLY_MS) return undefined;
    const struck = (d: disturbances.Disturbance): boolean =>
      (d.on === s.entry && !PLANNED.test(d.kind)) || runs.some((r) => r.instance === d.on);
    return disturbances.any(h.disturbances, s.sentAt, s.endedAt, struck)
      ? undefined
      : `was cut off: ${s.end.why}`;
  },
  function route(s, runs, h) {
    const refused = s.end.kind === "answer" && s.end.status === 404;
    if (ALWAYS.has(s.path)) return refused ? "a route in force was denied" : undefined;
    const changes = h.changes.filter((c) => c.kind !== "leaving" && c.path === s.path);
    const pending = changes.some((c) => c.at >= s.sentAt - IN_FORCE_MS && c.at < s.endedAt);
    if (pending || outOfTouch(h, s.entry, s.sentAt - IN_FORCE_MS, s.endedAt)) return undefined;
    const added = changes.filter((c) => c.at < s.sentAt).at(-1)?.kind === "route_added";
    if (added) return refused ? "an added route was denied" : undefined;
    return runs.length > 0 ? "ran by a route that is not there" : undefined;
  },
  function time(s, runs) {
    const over = runs.find((r) => !(r.leftMs <= s.waitMs));
    return over ? `a worker was told ${over.leftMs} of ${s.waitMs} ms` : undefined;
  },
  function leaving(s, runs, h) {
    for (const c of h.changes) {
      if (c.kind !== "leaving") continue;
      const late = runs.find((r) => r.instance === c.instance && r.at > c.at + IN_FORCE_MS);
      if (late && !outOfTouch(h, s.entry, c.at, late.at))
        return `reached ${c.instance}, which leaves`;
    }
    return undefined;
  },
  function key(s, runs, h) {
    return teams.check(h.teams, s, runs);
  },
  function gone(s, runs, h) {
    if (s.end.kind !== "left") return undefined;
    const on = runs.find((r) => (r.endedAt ?? Infinity) > s.endedAt + LEFT_MS);
    // A link that is cut one way hands what it holds to whichever worker is at its place when it ends.
    const parts = new Set([s.entry, on?.instance, on && disturbances.placeOf(on.instance)]);
    if (
      !on ||
      disturbances.any(h.disturbances, s.sentAt, s.endedAt + LEFT_MS, (d) => parts.has(d.on))
    )
      return undefined;
    return `left, and ${on.instance} worked on`;
  },
];

/** Requests that ended their workers and were sent on and on. */
function fatal(h: History, runs: ReadonlyMap<string, readonly journals.Run[]>): readonly string[] {
  return [...new Set(h.kept.crashes.map((c) => c.body))].flatMap((body) => {
    const ends = h.kept.crashes.filter((c) => c.body === body);
    const third = ends[PROOFS - 1];
    if (!third) return [];
    const known = third.at + CONTACT_MS;
    const late = h.seen.filter(
      (s) => s.body === body && !outOfTouch(h, s.entry, s.sentAt - CONTACT_MS, s.endedAt),
    );
    const sends = late.flatMap((s) => runs.get(s.id) ?? []).filter((r) => r.at > known);
    if (sends.length <= BORNE) return [];
    return [`fatal: ${body} was sent ${sends.length} times more; ${ends.length} workers ended`];
  });
}

/** Every broken promise, a line each; none when all held. */
export function violations(h: History): readonly string[] {
  const runs = new Map<string, journals.Run[]>();
  for (const r of h.kept.runs) runs.set(r.id, [...(runs.get(r.id) ?? []), r]);
  const asked = new Set(h.seen.map((s) => s.id));
  const unasked = [...runs.keys()].filter((id) => !asked.has(id));
  const found = h.seen.flatMap((s) =>
    CHECKS.flatMap((check) => {
      const what = check(s, runs.get(s.id) ?? [], h);
      return what === undefined ? [] : [`${check.name}: ${s.id} (${s.kind} by ${s.entry}) ${what}`];
    }),
  );
  const ran = unasked.map((id) => `unasked: ${id} ran`);
  const anyOutOfTouch = (from: number, to: number): boolean =>
    disturbances.any(h.disturbances, from, to, (d) => d.on === "store" || d.on.startsWith("entry"));
  const beyond = teams.beyondCap(h.teams, h.seen, runs, anyOutOfTouch);
  const sent = h.seen.map((s) => ({ service: serviceOf(s), at: s.sentAt }));
  const retried = retries.beyondBudget(sent, h.kept.arrivals);
  return [
    ...h.faults,
    ...h.kept.faults,
    ...ran,
    ...fatal(h, runs),
    ...beyond,
    ...retried,
    ...notices.violations(h),
    ...found,
  ];
}

function serviceOf(s: Seen): string {
  return s.kind === "stream" || s.kind === "stream_once" ? site.ENGINES : site.PLAIN;
}

/** How a request ended, in a word. */
export function ending(s: Seen): string {
  return s.end.kind === "answer" ? String(s.end.status) : s.end.kind;
}

/** Whether a request is to be served: its route and its key are in force, and its team within its cap. */
function isOwed(h: History, s: Seen): boolean {
  const end = ending(s);
  // A 404 that is wrong is found by itself.
  if (end === "429" || (end === "404" && !ALWAYS.has(s.path))) return false;
  return h.teams.keys.some((k) => k.key === s.key && k.until > s.sentAt);
}

/** Part of the requests sent after `from` that were served. */
export function served(h: History, from: number): number {
  const late = h.seen.filter(
    (s) => s.sentAt > from && s.end.kind !== "left" && s.path !== "/x/" && isOwed(h, s),
  );
  return late.filter((s) => ending(s) === "200").length / Math.max(1, late.length);
}
