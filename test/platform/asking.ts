/**
 * Requests of a caller to a site of daemons as processes.
 * @module
 */
import * as undici from "undici";
import type * as notices from "../../bench/platform/notices.js";
import type * as soak from "../../bench/soak/site.js";

/** Milliseconds that a caller waits. */
const WAIT_MS = 3000;
const MS_PER_S = 1000;

export interface Wish {
  readonly id: string;
  /** Number of the entry host; those there are go round. */
  readonly entry: number;
  /** Prefix of the route. */
  readonly at: string;
  readonly body: string;
  /** Adapter, on routes to engines. */
  readonly adapter: string;
}

/** An answer as its caller saw it. */
export interface Answer {
  readonly id: string;
  readonly entry: string;
  readonly status: number;
  /** The worker that signed it; empty for an answer of the entry host's own. */
  readonly by: string;
  /** Whether it says that its worker leaves. */
  readonly leaving: boolean;
  /** Milliseconds after which the caller is told to come back. */
  readonly retryAfterMs: number | undefined;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Sends one request; the status of its answer. */
export async function ask(site: soak.Site, w: Wish): Promise<number> {
  return (await answer(site, w)).status;
}

/** Sends one request. */
export async function answer(site: soak.Site, w: Wish): Promise<Answer> {
  const entry = site.entries[w.entry % site.entries.length];
  const isStream = w.at === "/s/" || w.at === "/o/";
  const sentAt = performance.now();
  const res = await undici.request(`http://${entry?.callers}${w.at}x`, {
    method: "POST",
    headers: {
      host: "a.example",
      "x-sumacfield-attempt-id": w.id,
      "x-sumacfield-deadline-ms": String(WAIT_MS),
      ...(isStream && {
        "x-sumacfield-model": `m/${w.adapter}`,
        "x-sumacfield-token-usage": "100,10",
      }),
    },
    body: w.body,
  });
  await res.body.text();
  const after = res.headers["retry-after"];
  return {
    id: w.id,
    entry: entry?.plan.name ?? "",
    status: res.statusCode,
    by: String(res.headers["x-sumacfield-server-signature"] ?? ""),
    leaving: res.headers["server-leaving"] !== undefined,
    retryAfterMs: after === undefined ? undefined : Number(after) * MS_PER_S,
    sentAt,
    endedAt: performance.now(),
  };
}

/** By which entry host each of some requests came, and when. */
export function sent(answers: readonly Answer[]): ReadonlyMap<string, notices.Sent> {
  return new Map(answers.map((a) => [a.id, { entry: a.entry, at: a.sentAt }]));
}

/** Which entry hosts passed on that a worker leaves. */
export function told(answers: readonly Answer[]): readonly notices.Told[] {
  return answers
    .filter((a) => a.leaving)
    .map((a) => ({ entry: a.entry, instance: a.by, at: a.endedAt }));
}
