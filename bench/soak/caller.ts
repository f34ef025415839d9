/**
 * A caller: keeps a connection to an entry daemon open as long as possible, sends one request after
 * the other over it, and records the result of each.
 * @module
 */
import * as timers from "node:timers/promises";
import * as undici from "undici";
import * as documents from "../platform/documents.js";
import * as rawCaller from "../platform/raw-caller.js";
import * as bases from "../platform/worker-base.js";
import * as history from "./history.js";
import * as teams from "./teams.js";

/** A request to send. */
export interface RequestPlan {
  readonly kind: history.Kind;
  readonly path: string;
  readonly adapter: string;
  /** Milliseconds until its deadline. */
  readonly waitMs: number;
  /** Milliseconds after which the caller disconnects; undefined if it waits for the answer. */
  readonly leaveMs: number | undefined;
  /** Name of a request that is sent repeatedly and crashes its workers; undefined for all others. */
  readonly fatal?: string;
  /** Ids of the parts of its prompt before the last one, which is its own. */
  readonly parts: readonly string[];
  /** API key to send; left out for any. */
  readonly key?: string;
}

/** What callers need from the run: what to send, where to, and where to record the result. */
export interface Environment {
  readonly nextRequest: () => RequestPlan;
  /** The name and `ip:port` of an entry daemon in the load balancer's rotation; undefined for none. */
  readonly entry: () => { readonly name: string; readonly address: string } | undefined;
  readonly pauseMs: () => number;
  readonly record: (s: history.RequestRecord) => void;
  readonly nextId: () => string;
  readonly key: () => string;
}

/** Milliseconds until a caller that got no entry daemon asks for one again. */
const ENTRY_RETRY_MS = 50;
/** Milliseconds after a request's deadline at which its caller stops waiting for the answer. */
const GIVE_UP_MS = 4000;

/** Tokens of each part of a prompt. */
const PART_TOKENS = 20;
/** Most times that a caller resumes one stream, milliseconds before each, and those that must be left of its deadline for that. */
const MAX_RESUMPTIONS = 4;
const RESUME_PAUSE_MS = 200;
const MIN_LEFT_MS = 200;

/** Sends one request on a new connection. */
export async function sendOne(w: Environment): Promise<void> {
  const to = w.entry();
  if (!to) return;
  const client = new undici.Client(`http://${to.address}`, { connect: { timeout: 1000 } });
  await sendRequest(w, client, to.name);
  await client.destroy();
}

/** Sends requests until `signal` aborts; resolves once the last one has ended. */
export async function run(w: Environment, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const to = w.entry();
    if (!to) {
      await timers.setTimeout(ENTRY_RETRY_MS);
      continue;
    }
    const client = new undici.Client(`http://${to.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: 1000 },
    });
    const ended = new AbortController();
    client.once("disconnect", () => {
      ended.abort();
    });
    const stopped = AbortSignal.any([ended.signal, signal]);
    while (!stopped.aborted) {
      if (!(await sendRequest(w, client, to.name))) break;
      await timers.setTimeout(w.pauseMs());
    }
    await client.destroy();
  }
}

/** Sends requests as an HTTP/1.0 caller, each on a connection of its own, until `signal` aborts. */
export async function runWithoutChunks(w: Environment, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const to = w.entry();
    if (to) await sendWithoutChunks(w, to);
    await timers.setTimeout(to ? w.pauseMs() : ENTRY_RETRY_MS);
  }
}

async function sendWithoutChunks(
  w: Environment,
  to: { readonly name: string; readonly address: string },
): Promise<void> {
  const wish = w.nextRequest();
  const id = w.nextId();
  const key = w.key();
  const { path, waitMs } = wish;
  const body = `body of ${id}`;
  const sentAt = performance.now();
  const leaving = AbortSignal.timeout(Math.round(wish.leaveMs ?? waitMs + GIVE_UP_MS));
  const received = await rawCaller.send(
    to.address,
    { version: "1.0", path: `${path}${id}`, headers: headersOf(wish, id, key), body },
    leaving,
  );
  const endedAt = performance.now();
  const { status, headers, end: how, body: text } = received;
  const hasLength = headers["content-length"] !== undefined;
  const end: history.RequestRecord["end"] =
    how === "complete"
      ? answerOf(status, headers, text, !hasLength)
      : leaving.aborted && wish.leaveMs !== undefined
        ? { kind: "left" }
        : { kind: "broken", text, why: `cut after status ${status}` };
  // A failed connect is left to the load balancer and does not count as a request.
  if (!received.isConnected && end.kind === "broken") return;
  w.record({ ...plannedOf(wish), id, key, entry: to.name, body, sentAt, endedAt, end });
}

/** What the record of a request has in common with its plan. */
function plannedOf({ kind, path, adapter, parts, waitMs }: RequestPlan) {
  return { kind, path, adapter, parts, waitMs };
}

function headersOf(wish: RequestPlan, id: string, key: string): Record<string, string> {
  return {
    host: documents.HOST,
    authorization: `Token ${key}`,
    "x-sumacfield-attempt-id": id,
    "x-sumacfield-deadline-ms": String(wish.waitMs),
    "x-sumacfield-prompt-prefix": [...wish.parts, id]
      .map((part) => `${part}:${PART_TOKENS}`)
      .join(","),
    ...(wish.adapter !== "" && {
      "x-sumacfield-model": `${documents.MODEL}/${wish.adapter}`,
      "x-sumacfield-token-usage": teams.STREAM_USAGE,
    }),
  };
}

function answerOf(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
  endsWithConnection: boolean,
): history.RequestRecord["end"] {
  const limit = headers["server-limit"];
  return {
    kind: "answer",
    status,
    by: String(headers["x-sumacfield-server-signature"] ?? ""),
    limitPerS: limit === undefined ? undefined : Number(limit),
    leaving: headers["server-leaving"] !== undefined,
    text,
    endsWithConnection,
  };
}

/** Sends one request, and resumes it elsewhere if it is a stream that breaks. Returns whether its connection can be used again. */
async function sendRequest(w: Environment, client: undici.Client, entry: string): Promise<boolean> {
  const { record: first } = await sendAttempt(w, client, entry, w.nextRequest(), undefined);
  let last = first;
  for (let n = 0; n < MAX_RESUMPTIONS && first.kind === "stream";) {
    const after = (last.resumed?.after ?? 0) + history.wholeEvents(last).length;
    if (last.end.kind !== "broken" || after === 0) break;
    await timers.setTimeout(RESUME_PAUSE_MS);
    const leftMs = Math.round(first.sentAt + first.waitMs - performance.now());
    const to = w.entry();
    if (!to || leftMs < MIN_LEFT_MS) break;
    const { kind, path, adapter, parts, key } = first;
    const plan = { kind, path, adapter, parts, key, waitMs: leftMs, leaveMs: undefined };
    const other = new undici.Client(`http://${to.address}`, { connect: { timeout: 1000 } });
    const next = await sendAttempt(w, other, to.name, plan, { first: first.id, after });
    await other.destroy();
    if (!next.isConnected) continue;
    n++;
    last = next.record;
  }
  return first.end.kind === "answer";
}

/** Sends one attempt of a request, and whether it was connected; `resumed` names the stream that it goes on with. */
async function sendAttempt(
  w: Environment,
  client: undici.Client,
  entry: string,
  wish: RequestPlan,
  resumed: history.RequestRecord["resumed"],
): Promise<{ readonly record: history.RequestRecord; readonly isConnected: boolean }> {
  const id = w.nextId();
  const key = wish.key ?? w.key();
  const { fatal } = wish;
  const name = resumed?.first ?? id;
  const body = fatal === undefined ? `body of ${name}` : `${fatal} ${bases.CRASH_MARKER}`;
  const sentAt = performance.now();
  const cancel = new AbortController();
  const leaveMs = wish.leaveMs ?? wish.waitMs + GIVE_UP_MS;
  const timer = setTimeout(() => {
    cancel.abort();
  }, leaveMs);
  let text = "";
  let end: history.RequestRecord["end"];
  let isConnected = true;
  try {
    const res = await client.request({
      method: "POST",
      path: `${wish.path}${fatal ?? name}`,
      headers: {
        ...headersOf(wish, id, key),
        ...(resumed && { "last-event-id": String(resumed.after), resumes: resumed.first }),
      },
      body,
      signal: cancel.signal,
    });
    for await (const part of res.body as AsyncIterable<Buffer>) text += part.toString();
    end = answerOf(res.statusCode, res.headers, text, false);
  } catch (err) {
    const why = err instanceof Error ? err.message : String(err);
    isConnected = !(err instanceof undici.errors.ConnectTimeoutError) && !isConnectionRefused(err);
    const left = cancel.signal.aborted && wish.leaveMs !== undefined;
    end = left ? { kind: "left" } : { kind: "broken", text, why };
  }
  clearTimeout(timer);
  const endedAt = performance.now();
  const sent = { ...plannedOf(wish), id, key, entry, body, sentAt, endedAt };
  const record: history.RequestRecord = { ...sent, end, ...(resumed && { resumed }) };
  // A failed connect is left to the load balancer and does not count as a request.
  if (isConnected) w.record(record);
  return { record, isConnected };
}

function isConnectionRefused(err: unknown): boolean {
  return err instanceof Error && "code" in err && err.code === "ECONNREFUSED";
}
