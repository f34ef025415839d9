/**
 * Sends requests as a caller to a site of daemons that run as processes.
 * @module
 */
import * as undici from "undici";
import type * as notices from "../../bench/platform/notices.js";
import type * as soak from "../../bench/soak/site.js";

/** Deadline of the requests, in milliseconds. */
const WAIT_MS = 3000;
const MS_PER_S = 1000;
/** Tokens of each part of a prompt. */
const PART_TOKENS = 25;

export interface RequestOptions {
  readonly id: string;
  /** Number of the entry host, modulo the number of entry hosts. */
  readonly entry: number;
  /** Path prefix of the route. */
  readonly prefix: string;
  readonly body: string;
  /** Adapter; used on routes to engines only. */
  readonly adapter: string;
  /** Ids of the parts of the prompt, in order; left out if the request names none. */
  readonly parts?: readonly string[];
}

/** An answer as its caller received it. */
export interface Answer {
  readonly id: string;
  readonly entry: string;
  readonly status: number;
  /** The worker that signed it; empty for an answer that the entry host made itself. */
  readonly by: string;
  /** Whether it announces that its worker is leaving. */
  readonly leaving: boolean;
  /** Milliseconds after which the caller is told to retry. */
  readonly retryAfterMs: number | undefined;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** Sends one request; returns the status of its answer. */
export async function requestStatus(site: soak.Site, w: RequestOptions): Promise<number> {
  return (await request(site, w)).status;
}

/** Sends one request; returns its answer. */
export async function request(site: soak.Site, w: RequestOptions): Promise<Answer> {
  const entry = site.entries[w.entry % site.entries.length];
  const isStream = w.prefix === "/s/" || w.prefix === "/o/";
  const sentAt = performance.now();
  const res = await undici.request(`http://${entry?.callers}${w.prefix}x`, {
    method: "POST",
    headers: {
      host: "a.example",
      "x-sumacfield-attempt-id": w.id,
      "x-sumacfield-deadline-ms": String(WAIT_MS),
      ...(isStream && {
        "x-sumacfield-model": `m/${w.adapter}`,
        "x-sumacfield-token-usage": "100,10",
      }),
      ...(w.parts && {
        "x-sumacfield-prompt-prefix": w.parts.map((id) => `${id}:${PART_TOKENS}`).join(","),
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

/** The entry host and the time of each request, by request id. */
export function sent(answers: readonly Answer[]): ReadonlyMap<string, notices.SentRequest> {
  return new Map(answers.map((a) => [a.id, { entry: a.entry, at: a.sentAt }]));
}

/** The answers by which entry hosts passed on that a worker is leaving. */
export function told(answers: readonly Answer[]): readonly notices.PassedOnNotice[] {
  return answers
    .filter((a) => a.leaving)
    .map((a) => ({ entry: a.entry, instance: a.by, at: a.endedAt }));
}
