/**
 * The engine's answer on its way out. Nothing is passed on that does not name the very adapter,
 * version and attempt asked for; what breaks off is never ended as if whole.
 * @module
 */
import type * as stream from "node:stream";
import * as events from "eventsource-parser";
import * as outcome from "../request/outcome.js";

/** What the answer must say of itself, and what callers are told instead of the engine's name. */
export interface Expected {
  /** Name the engine was asked for. */
  readonly name: string;
  /** The attempt's id, part of the answer's id. */
  readonly id: string;
  /** `adapter@version`. */
  readonly target: string;
  readonly endpoint: string;
}

const DONE = "[DONE]";

function mismatch(e: Expected, message: string): outcome.StepError {
  return new outcome.StepError({
    code: "answer_mismatch",
    outcome: "failed",
    step: "answer",
    peer: e.endpoint,
    message,
  });
}

function broken(e: Expected, message: string): outcome.StepError {
  return new outcome.StepError({
    code: "link_broken",
    outcome: "unknown",
    step: "answer",
    peer: e.endpoint,
    message,
  });
}

/** Checks one object of the engine's answer, and renders it with the public name. */
export function check(text: string, e: Expected): string {
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(text) as Record<string, unknown>;
  } catch {
    throw broken(e, "The engine's answer is not JSON.");
  }
  if (fields.model !== e.name) {
    throw mismatch(e, `The engine answered for another adapter than ${e.target}.`);
  }
  if (typeof fields.id !== "string" || !fields.id.includes(e.id)) {
    throw mismatch(e, "The engine answered another request.");
  }
  return JSON.stringify({ ...fields, model: e.target });
}

/** Reads a whole answer of at most `limit` bytes and checks it. */
export async function whole(body: stream.Readable, e: Expected, limit: number): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of body as AsyncIterable<Buffer>) {
      size += part.length;
      parts.push(part);
      if (size > limit) break;
    }
  } catch (err) {
    throw broken(e, `The engine's answer broke off: ${err instanceof Error ? err.message : ""}.`);
  }
  if (size > limit)
    throw mismatch(e, `The engine's answer is over ${limit} bytes; ask for a stream.`);
  return check(Buffer.concat(parts).toString(), e);
}

/**
 * The checked events of a streamed answer, each ready to be written. Throws where the stream ends
 * without the engine's own end mark.
 */
export async function* streamed(
  body: stream.Readable,
  e: Expected,
  limit: number,
): AsyncGenerator<string> {
  let ready: string[] = [];
  let size = 0;
  const seen = { done: false };
  const parser = events.createParser({
    onEvent: ({ data }) => {
      seen.done = data === DONE;
      size = 0;
      ready.push(`data: ${seen.done ? DONE : check(data, e)}\n\n`);
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const part of body as AsyncIterable<Buffer>) {
      size += part.length;
      parser.feed(decoder.decode(part, { stream: true }));
      if (size > limit) throw mismatch(e, `One event of the engine is over ${limit} bytes.`);
      const out = ready;
      ready = [];
      yield* out;
    }
  } catch (err) {
    if (err instanceof outcome.StepError) throw err;
    throw broken(e, `The engine's stream broke off: ${err instanceof Error ? err.message : ""}.`);
  }
  if (!seen.done) throw broken(e, "The engine's stream ended without its end mark.");
}
