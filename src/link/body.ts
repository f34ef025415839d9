/**
 * Reads bodies of limited size, and sends failures as responses.
 * @module
 */
import * as http from "node:http";
import type * as connections from "../host/connections/connections.js";
import * as responses from "../host/response.js";
import * as outcome from "../request/outcome.js";
import * as wire from "./wire.js";

const MS_PER_S = 1000;

/** Reads a whole body of at most `limit` bytes; throws a `StepError` of step `read` otherwise. */
export async function read(
  req: http.IncomingMessage,
  limit: number,
  peer: string,
): Promise<Buffer> {
  // Created only when it is thrown: an error captures a stack trace when it is created, which costs more
  // than all the rest of this function.
  const tooLarge = (): outcome.StepError =>
    outcome.notRun("too_large", "read", peer, `The body is over ${limit} bytes.`);
  if (Number(req.headers["content-length"] ?? 0) > limit) throw tooLarge();
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limit) throw tooLarge();
      chunks.push(chunk);
    }
  } catch (err) {
    if (err instanceof outcome.StepError) throw err;
    throw outcome.notRun(
      "bad_request",
      "read",
      peer,
      "The connection was closed before the whole request body arrived.",
    );
  }
  return Buffer.concat(chunks);
}

/** Our error codes for parse errors of Node's HTTP server; all others are `bad_request`. */
const CODE_BY_PARSE_ERROR: Readonly<Record<string, outcome.Code>> = {
  HPE_HEADER_OVERFLOW: "too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "bad_request",
};

/**
 * The response to bytes that are not an HTTP request, or to a request that arrived too slowly: a failure in the
 * usual format, which announces that the connection closes.
 */
function unreadableRefusal(err: Error): string {
  const cause = "code" in err ? String(err.code) : "";
  const code = CODE_BY_PARSE_ERROR[cause] ?? "bad_request";
  const message = `The request could not be read: ${err.message}.`;
  return rawRefusal({ code, outcome: "not_run", step: "read", peer: "caller", message });
}

/** The response, likewise, to a request of which only a part has arrived when the host stops. */
function stoppingRefusal(): string {
  const message = "This host stops; the request had not arrived whole.";
  return rawRefusal({
    code: "leaving",
    outcome: "not_run",
    step: "read",
    peer: "caller",
    message,
  });
}

function rawRefusal(f: outcome.Failure): string {
  const text = JSON.stringify(outcome.toBody(f));
  return [
    `HTTP/1.1 ${outcome.STATUS[f.code]} ${http.STATUS_CODES[outcome.STATUS[f.code]] ?? ""}`,
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(text)}`,
    `${wire.HEADER.outcome}: not_run`,
    "connection: close",
    "",
    text,
  ].join("\r\n");
}

/** What clients get whose requests are not read to their end. */
export const REFUSALS: connections.Refusals = {
  unreadable: unreadableRefusal,
  stopping: stoppingRefusal(),
};

/**
 * Answers with a failure. If a response has already begun, breaks it off, so that the client cannot mistake the
 * partial response for a complete one.
 */
export function sendFailure(res: http.ServerResponse, f: outcome.Failure): void {
  if (res.headersSent) {
    responses.breakOff(res);
    return;
  }
  const text = JSON.stringify(outcome.toBody(f));
  const retryAfterMs = f.retryAfterMs;
  res.writeHead(outcome.STATUS[f.code], {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    [wire.HEADER.outcome]: f.outcome,
    ...(retryAfterMs !== undefined && {
      "retry-after": String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_S))),
    }),
    ...(f.code === "too_large" && { connection: "close" }),
  });
  res.end(text);
}
