/**
 * The record of a run, as callers, workers and the soak itself observed it, and the checks of the
 * documented promises against it. The checks share no code with the daemons.
 * @module
 */
import type * as journals from "../platform/journal.js";
import * as workers from "../platform/worker.js";
import * as daemons from "./daemon.js";
import * as disturbances from "./disturbances.js";
import * as notices from "./notices.js";
import * as retries from "./retries.js";
import * as site from "./site.js";
import * as software from "./software.js";
import * as teams from "./teams.js";
import * as versions from "./versions.js";

/** Kinds of requests: streams and plain calls; those named `_once` may run at most once. */
export type Kind = "stream" | "stream_once" | "call" | "call_once";

/** One request as its caller saw it. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: Kind;
  readonly entry: string;
  readonly path: string;
  /** Adapter, or empty for a call to a plain service. */
  readonly adapter: string;
  /** API key that it carried. */
  readonly key: string;
  /** Ids of the parts of its prompt before the last one. */
  readonly parts: readonly string[];
  readonly body: string;
  /** Milliseconds from its sending to its deadline. */
  readonly waitMs: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** The attempt that brought the first event of a stream, and the last event that its caller has, if it resumes one. */
  readonly resumed?: { readonly first: string; readonly after: number };
  readonly end:
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly by: string;
        /** Limit that its worker announced, in requests a second. */
        readonly limitPerS: number | undefined;
        /** Whether the answer announces that its worker leaves. */
        readonly leaving: boolean;
        readonly text: string;
        /** Whether only the end of the connection marked its end, as for HTTP/1.0 callers. */
        readonly endsWithConnection: boolean;
      }
    /** The connection ended before the answer was complete; `text` is what had arrived. */
    | { readonly kind: "broken"; readonly text: string; readonly why: string }
    /** The caller disconnected by its own choice. */
    | { readonly kind: "left" };
}

/** A change of a route by the operator, or a worker's announcement that it leaves. */
export type Change =
  | { readonly kind: "route_added" | "route_removed"; readonly path: string; readonly at: number }
  | { readonly kind: "leaving"; readonly instance: string; readonly at: number };

/** The record of a run. */
export interface History {
  readonly seen: RequestRecord[];
  readonly kept: journals.Journal;
  readonly disturbances: disturbances.Disturbance[];
  readonly changes: Change[];
  /** Versions of adapters that the operator declared, in the order of their declaration. */
  readonly declared: versions.Declaration[];
  readonly teams: teams.Teams;
  /** Violations that the soak itself noticed, such as a daemon that ended by itself. */
  readonly faults: string[];
}

/** Number of workers that one request may run on, by its kind. */
export const ATTEMPTS: Readonly<Record<Kind, number>> = {
  stream: 2,
  stream_once: 1,
  call: 2,
  call_once: 1,
};

/** Milliseconds within which a declared version must be in force, as documented. */
export const VERSION_MS = 5000;
/** Paths of the routes that every configuration has. */
const STATIC_PATHS = new Set(["/s/", "/o/", "/c/", "/n/"]);
/** Milliseconds within which a declared change must be in force on hosts that can reach the store, as documented. */
const IN_FORCE_MS = 2000;
/** Milliseconds by which an answer may miss the caller's deadline, to allow for a busy machine. */
const LATE_TOLERANCE_MS = 700;
/** Milliseconds before the caller's deadline from which an answer may be given up. */
const EARLY_TOLERANCE_MS = 60;
/** Milliseconds after a caller's disconnect within which its worker must stop. */
const CANCEL_MS = 900;
/** Milliseconds after a caller's disconnect within which its request may still reach a worker. */
const GONE_MS = 500;
/** Worker crashes after which all hosts must know that a request, or a part of prompts, is fatal, as documented. */
const CRASHES_UNTIL_KNOWN = 3;
const PART_CRASHES_UNTIL_KNOWN = 5;
/** Sends that are tolerated, as documented: of such a request, and after callers have disconnected. */
const TOLERATED_SENDS = 3;
/** Milliseconds after SIGTERM up to which requests must be sent to be excused by the end of the grace period. */
const SENT_IN_GRACE_MS = 3000;
/** Part of the grace period after which a daemon may end what workers are still at work on. */
const GRACE_PART = 5 / 6;
/** Part of the kinds of disturbances that are planned work and so may not interrupt a request. */
const PLANNED_WORK = "asked to stop";
/** Statuses that workers sign. */
const SIGNED_STATUSES = new Set([200, 500]);
/** Statuses with which a proper request may be refused; those of routes and keys have checks of their own. */
const REFUSALS = new Set([401, 404, 408, 421, 429]);
/** Statuses that promise that the request did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Whether an entry daemon may have been unable to read the store or to run for some time before the interval, or in it. */
export function outOfTouch(h: History, entry: string, from: number, to = from): boolean {
  const parts = new Set(["store", entry, storeLink(entry)]);
  return disturbances.anyDisturbed(h.disturbances, from, to, (d) => parts.has(d.on));
}

/** Whether an entry daemon's process may not have run for some time before the interval, or in it. */
function wasDisturbed(h: History, entry: string, from: number, to: number): boolean {
  return disturbances.anyDisturbed(h.disturbances, from, to, (d) => d.on === entry);
}

/** Whether a link to a worker may have been harmed shortly before the interval, or in it. */
function linkDisturbed(h: History, instance: string, from: number, to = from): boolean {
  const harms = (d: disturbances.Disturbance): boolean =>
    disturbances.isLink(d) && disturbances.isAtWorker(d, instance);
  return disturbances.anyDisturbed(h.disturbances, from, to, harms);
}

/** Whether the store, or a link to it, may have failed at some time in the interval. */
export function storeDisturbed(h: History, from: number, to: number): boolean {
  const isStore = (name: string): boolean =>
    name === "store" || name.endsWith(disturbances.STORE_LINK);
  return disturbances.anyDisturbed(h.disturbances, from, to, (d) => isStore(d.on));
}

/** Name under which disturbances of the link between a daemon and the store are recorded. */
export function storeLink(daemon: string): string {
  return `${daemon}${disturbances.STORE_LINK}`;
}

/** Whether the text is the complete answer to the request. */
function isWhole(s: RequestRecord, text: string): boolean {
  if (s.adapter === "") return text === workers.answerText(s.id, s.body);
  const version = Number(/@(\d+) /.exec(text)?.[1]);
  const ids = Array.from({ length: workers.EVENTS_PER_STREAM }, (_, i) => i + 1);
  const events = ids.slice(s.resumed?.after ?? 0);
  const pattern = events.map((n) => workers.eventText(s.id, s.adapter, version, n)).join("");
  // A resumed stream may continue with a newer version of the adapter. Software versions are checked apart.
  const plain = (t: string): string => t.replaceAll(/@\d+ /g, "@ ").replaceAll(/ by \S+\n/g, "\n");
  return plain(text) === plain(pattern);
}

/** Whether the text is the beginning of the answer to this request. */
function isBeginning(s: RequestRecord, text: string): boolean {
  if (s.adapter === "") return workers.answerText(s.id, s.body).startsWith(text);
  const events = workers.wholeEvents(text);
  const next = (s.resumed?.after ?? 0) + 1;
  return events.every((e, i) => e.startsWith(`id: ${i + next}\ndata: ${s.id} ${s.adapter}@`));
}

/** The whole events that a request brought its caller. */
export function wholeEvents(s: RequestRecord): readonly string[] {
  if (s.end.kind === "left" || s.adapter === "") return [];
  return workers.wholeEvents(s.end.text);
}

/** Whether a worker was still at work on a request at the end of the grace period of its entry daemon, which may then end it. */
function outlastedGrace(h: History, s: RequestRecord, runs: readonly journals.Run[]): boolean {
  return h.disturbances.some((d) => {
    if (d.on !== s.entry || !d.kind.includes("asked to stop")) return false;
    const mayEndAt = d.from + daemons.GRACE_MS * GRACE_PART;
    return (
      s.sentAt <= d.from + SENT_IN_GRACE_MS &&
      runs.some((r) => (r.endedAt ?? Infinity) >= mayEndAt && s.endedAt >= mayEndAt)
    );
  });
}

/** Returns what is wrong with a request, or undefined. The function's name is the rule's name in the output. */
type Check = (s: RequestRecord, runs: readonly journals.Run[], h: History) => string | undefined;

const CHECKS: readonly Check[] = [
  function whole(s, _runs, h) {
    if (s.end.kind === "broken" && !isBeginning(s, s.end.text))
      return "got bytes of another answer";
    if (s.end.kind !== "answer") return undefined;
    if (s.end.by !== "" && !SIGNED_STATUSES.has(s.end.status))
      return `got status ${s.end.status} with the signature of ${s.end.by}, which never gave it`;
    if (s.end.status !== 200) return undefined;
    if (s.end.by === "") return "got status 200 without a worker's signature";
    // The connections of a killed process are closed normally, which an HTTP/1.0 caller can't tell from an end.
    const entryKilled = h.disturbances.some(
      (d) =>
        d.on === s.entry && d.kind.includes("killed") && d.from < s.endedAt && s.endedAt < d.to,
    );
    if (s.end.endsWithConnection && entryKilled) return undefined;
    return isWhole(s, s.end.text)
      ? undefined
      : `got an incomplete or wrong answer: ${s.end.text.slice(0, 200)}`;
  },
  function once(s, runs) {
    const only = s.kind === "call_once" || s.kind === "stream_once";
    return only && runs.length > 1 ? `ran ${runs.length} times` : undefined;
  },
  function attempts(s, runs, h) {
    const counted = runs.filter(
      (r) =>
        !h.disturbances.some(
          (d) =>
            disturbances.endsOrCutsOff(d) &&
            disturbances.isAtWorker(d, r.instance) &&
            d.from < s.endedAt &&
            d.to > r.at,
        ),
    );
    return counted.length > ATTEMPTS[s.kind] ? `ran on ${counted.length} workers` : undefined;
  },
  function notRun(s, runs) {
    if (s.end.kind !== "answer" || !NOT_RUN_STATUSES.has(s.end.status) || runs.length === 0)
      return undefined;
    return `was answered ${s.end.status} but ran`;
  },
  function version(s, runs, h) {
    return versions.violation(h, s, runs);
  },
  function late(s, _runs, h) {
    if (s.end.kind === "left" || s.endedAt - s.sentAt < s.waitMs + LATE_TOLERANCE_MS)
      return undefined;
    if (wasDisturbed(h, s.entry, s.sentAt, s.endedAt)) return undefined;
    return `ended after ${Math.round(s.endedAt - s.sentAt)} ms, with a deadline of ${s.waitMs} ms`;
  },
  function broken(s, runs, h) {
    if (s.end.kind !== "broken") return undefined;
    // A request may meet the close of an idle connection; this is allowed if it was not passed on.
    if (runs.length === 0 && s.end.text === "") return undefined;
    // A stream is broken off at its deadline, since it must not look complete.
    if (s.endedAt - s.sentAt >= s.waitMs - EARLY_TOLERANCE_MS) return undefined;
    if (outlastedGrace(h, s, runs)) return undefined;
    const struck = (d: disturbances.Disturbance): boolean =>
      (d.on === s.entry && !d.kind.includes(PLANNED_WORK)) ||
      runs.some((r) => disturbances.isAtWorker(d, r.instance));
    return disturbances.anyDisturbed(h.disturbances, s.sentAt, s.endedAt, struck)
      ? undefined
      : `was interrupted: ${s.end.why}`;
  },
  function route(s, runs, h) {
    const refused = s.end.kind === "answer" && s.end.status === 404;
    if (STATIC_PATHS.has(s.path)) return refused ? "got 404 for a static route" : undefined;
    const changes = h.changes.filter((c) => c.kind !== "leaving" && c.path === s.path);
    const pending = changes.some((c) => c.at >= s.sentAt - IN_FORCE_MS && c.at < s.endedAt);
    if (pending || outOfTouch(h, s.entry, s.sentAt, s.endedAt)) return undefined;
    const added = changes.filter((c) => c.at < s.sentAt).at(-1)?.kind === "route_added";
    if (added) return refused ? "got 404 for an added route" : undefined;
    return runs.length > 0 ? "ran on a route that does not exist" : undefined;
  },
  function time(s, runs) {
    const over = runs.find((r) => !(r.leftMs <= s.waitMs));
    return over
      ? `a worker was told a deadline of ${over.leftMs} ms instead of at most ${s.waitMs} ms`
      : undefined;
  },
  function denied(s) {
    if (s.end.kind !== "answer" || s.end.by !== "") return undefined;
    const { status } = s.end;
    return status >= 300 && status < 500 && !REFUSALS.has(status) ? `got ${status}` : undefined;
  },
  function leaving(s, _runs, h) {
    const late = h.kept.arrivals.find((a) => {
      const told = h.changes.find((c) => c.kind === "leaving" && c.instance === a.instance);
      return (
        a.id === s.id &&
        !a.isMisdirected &&
        told !== undefined &&
        a.at > told.at + IN_FORCE_MS &&
        !storeDisturbed(h, told.at, told.at) &&
        !linkDisturbed(h, a.instance, a.at) &&
        !outOfTouch(h, s.entry, s.sentAt, a.at)
      );
    });
    return late && `reached ${late.instance}, which was leaving`;
  },
  function key(s, runs, h) {
    return teams.keyViolation(h.teams, s, runs);
  },
  function gone(s, runs, h) {
    if (s.end.kind !== "left") return undefined;
    const on = runs.find((r) => (r.endedAt ?? Infinity) > s.endedAt + CANCEL_MS);
    const until = s.endedAt + CANCEL_MS;
    // A link that is cut in one direction delivers the bytes it held when the cut ends, to the worker then at that place.
    if (
      !on ||
      wasDisturbed(h, s.entry, s.sentAt, until) ||
      linkDisturbed(h, on.instance, s.sentAt, until)
    )
      return undefined;
    return `caller disconnected, but ${on.instance} kept working`;
  },
];

/** What crashed workers: one request, or a part of several prompts. */
interface Cause {
  readonly name: string;
  readonly crashes: readonly journals.Crash[];
  readonly crashesUntilKnown: number;
  readonly isIn: (s: RequestRecord) => boolean;
}

function causesOf({ crashes }: journals.Journal): readonly Cause[] {
  const parts = new Set(crashes.flatMap((c) => c.part ?? []));
  const bodies = new Set(crashes.flatMap((c) => (c.part === undefined ? c.body : [])));
  return [
    ...[...bodies].map((body): Cause => {
      const own = crashes.filter((c) => c.part === undefined && c.body === body);
      const crashesUntilKnown = CRASHES_UNTIL_KNOWN;
      return { name: body, crashes: own, crashesUntilKnown, isIn: (s) => s.body === body };
    }),
    ...[...parts].map((part): Cause => {
      const own = crashes.filter((c) => c.part === part);
      const crashesUntilKnown = PART_CRASHES_UNTIL_KNOWN;
      return { name: part, crashes: own, crashesUntilKnown, isIn: (s) => s.parts.includes(part) };
    }),
  ];
}

/** One line for each cause of crashes whose requests were still sent too often once it was known. */
function fatalViolations(
  h: History,
  runs: ReadonlyMap<string, readonly journals.Run[]>,
): readonly string[] {
  return causesOf(h.kept).flatMap(({ name, crashes, crashesUntilKnown, isIn }) => {
    const lastNeeded = crashes[crashesUntilKnown - 1];
    if (!lastNeeded) return [];
    const knownAt = lastNeeded.at + disturbances.CONTACT_MS;
    const late = h.seen.filter((s) => isIn(s) && !outOfTouch(h, s.entry, s.sentAt, s.endedAt));
    const extraSends = late.flatMap((s) => runs.get(s.id) ?? []).filter((r) => r.at > knownAt);
    if (extraSends.length <= TOLERATED_SENDS) return [];
    return [
      `fatal: ${name} was sent ${extraSends.length} more times; it crashed ${crashes.length} workers`,
    ];
  });
}

/** One line if more than a few requests reached workers long after their callers had disconnected. */
function sentAfterLeaving(h: History): readonly string[] {
  const left = new Map(h.seen.flatMap((s) => (s.end.kind === "left" ? [[s.id, s]] : [])));
  const late = h.kept.arrivals.filter((a) => {
    const s = left.get(a.id);
    return (
      s !== undefined &&
      a.at > s.endedAt + GONE_MS &&
      !wasDisturbed(h, s.entry, s.sentAt, a.at) &&
      !linkDisturbed(h, a.instance, a.at)
    );
  });
  if (late.length <= TOLERATED_SENDS) return [];
  return [`gone: ${late.length} requests reached workers after their callers had disconnected`];
}

/** One line for each broken promise; empty when all held. */
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
    disturbances.anyDisturbed(
      h.disturbances,
      from,
      to,
      (d) => d.on === "store" || d.on.startsWith("entry"),
    );
  const beyond = teams.capViolations(h.teams, h.seen, runs, anyOutOfTouch);
  // Requests without a route earn no retries.
  const routed = h.seen.filter((s) => ending(s) !== "404");
  const sent = routed.map((s) => ({ service: serviceOf(s), at: s.sentAt }));
  const retried = retries.budgetViolations(sent, h.kept.arrivals);
  return [
    ...h.faults,
    ...h.kept.faults,
    ...ran,
    ...fatalViolations(h, runs),
    ...sentAfterLeaving(h),
    ...beyond,
    ...retried,
    ...notices.violations(h),
    ...software.violations(h),
    ...found,
  ];
}

function serviceOf(s: RequestRecord): string {
  return s.kind === "stream" || s.kind === "stream_once" ? site.ENGINES : site.PLAIN;
}

/** How a request ended: the status of its answer, or `broken` or `left`. */
export function ending(s: RequestRecord): string {
  return s.end.kind === "answer" ? String(s.end.status) : s.end.kind;
}

/** Whether a request should be served: its route and API key are in force, and its team is within its cap. */
function mustBeServed(h: History, s: RequestRecord): boolean {
  const end = ending(s);
  // A wrong 404 is reported by the `route` check.
  if (end === "429" || (end === "404" && !STATIC_PATHS.has(s.path))) return false;
  return h.teams.keys.some((k) => k.key === s.key && k.until > s.sentAt);
}

/** Share of the requests sent after `from` that were served, of those that should be. */
export function servedShare(h: History, from: number): number {
  const late = h.seen.filter(
    (s) =>
      s.sentAt > from &&
      s.end.kind !== "left" &&
      s.resumed === undefined &&
      s.path !== "/x/" &&
      mustBeServed(h, s),
  );
  return late.filter((s) => ending(s) === "200").length / Math.max(1, late.length);
}
