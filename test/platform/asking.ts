/**
 * Requests of a caller to a site of daemons as processes.
 * @module
 */
import * as undici from "undici";
import type * as soak from "../../bench/soak/site.js";

/** Milliseconds that a caller waits. */
const WAIT_MS = 3000;

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

/** Sends one request; the status of its answer. */
export async function ask(site: soak.Site, w: Wish): Promise<number> {
  const callers = site.entries[w.entry % site.entries.length]?.callers ?? "";
  const isStream = w.at === "/s/" || w.at === "/o/";
  const res = await undici.request(`http://${callers}${w.at}x`, {
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
  return res.statusCode;
}
