/**
 * What a caller asks, read from its headers and body and checked before anything is done for it.
 * @module
 */
import type * as http from "node:http";
import * as zod from "zod";
import * as outcome from "../request/outcome.js";

/** Request headers callers may set; see docs/operators/callers.md. */
export const HEADER = {
  /** RFC 7240: `Prefer: wait=10` gives the seconds within which the first byte is wanted. */
  prefer: "prefer",
  /** RFC 9218: `Priority: u=0` (most urgent) to `u=7`; 3 when left out. */
  priority: "priority",
  /** The IETF's draft: a repeat with the same key does not run again. */
  idempotencyKey: "idempotency-key",
  /** `never`: the request is not to be repeated by the system either. */
  repeat: "sumacfield-repeat",
  /** Worth of this request, at most that of the caller's grant. */
  worth: "sumacfield-worth",
} as const;

/** What the headers of any request say. */
export interface Wishes {
  readonly key: string;
  /** Milliseconds until the first byte is wanted. */
  readonly deadlineMs: number;
  readonly idempotencyKey: string | undefined;
  readonly repeatable: boolean;
  /** Undefined for the grant's own worth. */
  readonly worth: number | undefined;
  /** From 0, most urgent, to 7. */
  readonly urgency: number;
}

const MS_PER_S = 1000;
const URGENCY = 3;
const KEY_LIMIT = 255;
const wait = /(?:^|[,\s])wait=(\d{1,6})(?:$|[,;\s])/i;
const urgency = /(?:^|[,\s])u=([0-7])(?:$|[,;\s])/;

function bad(message: string): outcome.StepError {
  return outcome.notRun("bad_request", "read", "caller", message);
}

function one(req: http.IncomingMessage, name: string): string | undefined {
  const value = req.headersDistinct[name];
  if (value === undefined) return undefined;
  if (value.length > 1) throw bad(`The header ${name} stands twice.`);
  return value[0];
}

/** Reads the headers; throws a `StepError` naming the first that is wrong. */
export function wishes(req: http.IncomingMessage, deadlineMs: number): Wishes {
  const bearer = /^Bearer ([\x21-\x7e]{1,512})$/.exec(one(req, "authorization") ?? "");
  if (!bearer?.[1]) {
    throw outcome.notRun("unauthorized", "authenticate", "caller", "A bearer key is wanted.");
  }
  const seconds = wait.exec(one(req, HEADER.prefer) ?? "")?.[1];
  const key = one(req, HEADER.idempotencyKey);
  if (key !== undefined && (key === "" || key.length > KEY_LIMIT)) {
    throw bad(`${HEADER.idempotencyKey} wants 1 to ${KEY_LIMIT} characters.`);
  }
  const repeat = one(req, HEADER.repeat);
  if (repeat !== undefined && repeat !== "never")
    throw bad(`${HEADER.repeat} can only be "never".`);
  const worth = one(req, HEADER.worth);
  if (worth !== undefined && !(Number(worth) > 0))
    throw bad(`${HEADER.worth} wants a number over 0.`);
  return {
    key: bearer[1],
    deadlineMs: seconds === undefined ? deadlineMs : Number(seconds) * MS_PER_S,
    idempotencyKey: key,
    repeatable: repeat === undefined && key === undefined,
    worth: worth === undefined ? undefined : Number(worth),
    urgency: Number(urgency.exec(one(req, HEADER.priority) ?? "")?.[1] ?? URGENCY),
  };
}

/** The worth that counts: the grant's, less what the caller itself takes off. */
export function worthOf(w: Pick<Wishes, "worth" | "urgency">, granted: number): number {
  const capped = Math.min(granted, w.worth ?? granted);
  return capped * 2 ** Math.min(0, URGENCY - w.urgency);
}

const MODEL_LIMIT = 200;
const generation = zod.looseObject({
  model: zod.string().min(1).max(MODEL_LIMIT),
  stream: zod.boolean().nullish(),
});

/** A request for a model: its fields as they came, and those the system reads. */
export interface Generation {
  readonly fields: Readonly<Record<string, unknown>>;
  readonly model: string;
  readonly stream: boolean;
}

/** Reads the body of a request for a model. */
export function generationOf(text: Buffer): Generation {
  let json: unknown;
  try {
    json = JSON.parse(text.toString());
  } catch {
    throw bad("The body is not JSON.");
  }
  const parsed = generation.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw bad(`The body's ${issue?.path.join(".") ?? ""}: ${issue?.message ?? "wrong"}.`);
  }
  const { model, stream } = parsed.data;
  return { fields: parsed.data, model, stream: stream ?? false };
}
