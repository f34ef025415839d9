/**
 * Parses and validates the headers and the body of a caller's request, before any work is done for
 * it.
 * @module
 */
import type * as http from "node:http";
import * as zod from "zod";
import * as outcome from "../request/outcome.js";

/** Request headers that callers may set; see docs/operators/callers.md. */
export const HEADER = {
  /** RFC 7240: `Prefer: wait=10` is the deadline of the first byte, in seconds. */
  prefer: "prefer",
  /** RFC 9218: `Priority: u=0` (most urgent) to `u=7`; the default is 3. */
  priority: "priority",
  /** IETF draft: a repeated request with the same key is not run again. */
  idempotencyKey: "idempotency-key",
  /** `never`: the system must not retry the request once it may have run. */
  repeat: "sumacfield-repeat",
  /** Worth of this request; capped at the worth in the caller's grant. */
  worth: "sumacfield-worth",
} as const;

/** The values of a request's headers, checked. */
export interface RequestHeaders {
  /** The caller's API key, from the `Authorization` header. */
  readonly apiKey: string;
  /** Milliseconds within which the first byte of the answer must be sent. */
  readonly deadlineMs: number;
  readonly idempotencyKey: string | undefined;
  /** Whether the request may be run again after an attempt that may have run. */
  readonly repeatable: boolean;
  /** Undefined when the request does not set it; the worth in the grant applies then. */
  readonly worth: number | undefined;
  /** From 0 (most urgent) to 7. */
  readonly urgency: number;
}

const MS_PER_S = 1000;
/** Urgency of a request without a `Priority` header, as in RFC 9218. */
const DEFAULT_URGENCY = 3;
/** Longest idempotency key, in characters. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;
const waitPattern = /(?:^|[,\s])wait=(\d{1,6})(?:$|[,;\s])/i;
const urgencyPattern = /(?:^|[,\s])u=([0-7])(?:$|[,;\s])/;

function badRequest(message: string): outcome.StepError {
  return outcome.notRun("bad_request", "read", "caller", message);
}

function singleHeader(req: http.IncomingMessage, name: string): string | undefined {
  const value = req.headersDistinct[name];
  if (value === undefined) return undefined;
  if (value.length > 1) throw badRequest(`The header ${name} appears more than once.`);
  return value[0];
}

/** Parses the headers; throws a `StepError` that names the first invalid one. */
export function parseHeaders(req: http.IncomingMessage, deadlineMs: number): RequestHeaders {
  const bearer = /^Bearer ([\x21-\x7e]{1,512})$/.exec(singleHeader(req, "authorization") ?? "");
  if (!bearer?.[1]) {
    throw outcome.notRun(
      "unauthorized",
      "authenticate",
      "caller",
      "The request has no valid bearer key.",
    );
  }
  const seconds = waitPattern.exec(singleHeader(req, HEADER.prefer) ?? "")?.[1];
  const key = singleHeader(req, HEADER.idempotencyKey);
  if (key !== undefined && (key === "" || key.length > MAX_IDEMPOTENCY_KEY_LENGTH)) {
    throw badRequest(
      `${HEADER.idempotencyKey} must have 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} characters.`,
    );
  }
  const repeat = singleHeader(req, HEADER.repeat);
  if (repeat !== undefined && repeat !== "never")
    throw badRequest(`${HEADER.repeat} must be "never".`);
  const worth = singleHeader(req, HEADER.worth);
  if (worth !== undefined && !(Number(worth) > 0))
    throw badRequest(`${HEADER.worth} must be a number greater than 0.`);
  return {
    apiKey: bearer[1],
    deadlineMs: seconds === undefined ? deadlineMs : Number(seconds) * MS_PER_S,
    idempotencyKey: key,
    repeatable: repeat === undefined && key === undefined,
    worth: worth === undefined ? undefined : Number(worth),
    urgency: Number(
      urgencyPattern.exec(singleHeader(req, HEADER.priority) ?? "")?.[1] ?? DEFAULT_URGENCY,
    ),
  };
}

/**
 * The worth that a request is scheduled by: that of the grant, lowered by the caller's own worth
 * header and halved for each step of urgency below the default. A caller can't raise it.
 */
export function effectiveWorth(
  headers: Pick<RequestHeaders, "worth" | "urgency">,
  grantWorth: number,
): number {
  const capped = Math.min(grantWorth, headers.worth ?? grantWorth);
  return capped * 2 ** Math.min(0, DEFAULT_URGENCY - headers.urgency);
}

/** Longest name of a model, in characters. */
const MAX_MODEL_LENGTH = 200;
const generationSchema = zod.looseObject({
  model: zod.string().min(1).max(MAX_MODEL_LENGTH),
  stream: zod.boolean().nullish(),
});

/** A request for a model: all fields as received, and those that the system reads. */
export interface Generation {
  readonly fields: Readonly<Record<string, unknown>>;
  readonly model: string;
  readonly stream: boolean;
}

/** Parses the body of a request for a model; throws a `StepError` when it is invalid. */
export function parseGeneration(body: Buffer): Generation {
  let json: unknown;
  try {
    json = JSON.parse(body.toString());
  } catch {
    throw badRequest("The body is not valid JSON.");
  }
  const parsed = generationSchema.safeParse(json);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    throw badRequest(
      `Invalid field ${issue?.path.join(".") ?? ""} in the body: ${issue?.message ?? "invalid"}.`,
    );
  }
  const { model, stream } = parsed.data;
  return { fields: parsed.data, model, stream: stream ?? false };
}
