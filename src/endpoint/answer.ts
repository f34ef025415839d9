/**
 * Validates the engine's answer before it is passed on: it must name the adapter, version and attempt
 * that were requested. An answer that breaks off ends with an error, never as if it were complete.
 * @module
 */
import type * as stream from "node:stream";
import * as events from "eventsource-parser";
import * as outcome from "../request/outcome.js";

/** What the answer must contain, and the public name that replaces the engine's name for callers. */
export interface ExpectedAnswer {
  /** Adapter name that was sent to the engine. */
  readonly name: string;
  /** The attempt's id; the answer's id must contain it. */
  readonly id: string;
  /** `adapter@version`, the public name. */
  readonly target: string;
  readonly endpoint: string;
}

const END_MARKER = "[DONE]";

function mismatch(e: ExpectedAnswer, message: string): outcome.StepError {
  return new outcome.StepError({
    code: "answer_mismatch",
    outcome: "failed",
    step: "answer",
    peer: e.endpoint,
    message,
  });
}

function linkBroken(e: ExpectedAnswer, message: string): outcome.StepError {
  return new outcome.StepError({
    code: "link_broken",
    outcome: "unknown",
    step: "answer",
    peer: e.endpoint,
    message,
  });
}

/** Validates one JSON object of the engine's answer and replaces the engine's name by the public one. */
export function validate(text: string, e: ExpectedAnswer): string {
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(text) as Record<string, unknown>;
  } catch {
    throw linkBroken(e, "The engine's answer is not JSON.");
  }
  if (fields.model !== e.name) {
    throw mismatch(e, `The engine's answer names another adapter than ${e.target}.`);
  }
  if (typeof fields.id !== "string" || !fields.id.includes(e.id)) {
    throw mismatch(e, "The engine's answer belongs to another request.");
  }
  return JSON.stringify({ ...fields, model: e.target });
}

/** Reads a complete answer of at most `limit` bytes and validates it. */
export async function readAll(
  body: stream.Readable,
  e: ExpectedAnswer,
  limit: number,
): Promise<string> {
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of body as AsyncIterable<Buffer>) {
      size += part.length;
      parts.push(part);
      if (size > limit) break;
    }
  } catch (err) {
    throw linkBroken(
      e,
      `The engine's answer broke off: ${err instanceof Error ? err.message : ""}.`,
    );
  }
  if (size > limit)
    throw mismatch(e, `The engine's answer is larger than ${limit} bytes; request a stream.`);
  return validate(Buffer.concat(parts).toString(), e);
}

/**
 * Yields the validated events of a streamed answer, each serialized as a server-sent event. `limit`
 * bounds the bytes of one event. Throws if the stream ends without the engine's `[DONE]` marker.
 */
export async function* readEvents(
  body: stream.Readable,
  e: ExpectedAnswer,
  limit: number,
): AsyncGenerator<string> {
  let pending: string[] = [];
  let size = 0;
  const seen = { done: false };
  const parser = events.createParser({
    onEvent: ({ data }) => {
      seen.done = data === END_MARKER;
      size = 0;
      pending.push(`data: ${seen.done ? END_MARKER : validate(data, e)}\n\n`);
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const part of body as AsyncIterable<Buffer>) {
      size += part.length;
      parser.feed(decoder.decode(part, { stream: true }));
      if (size > limit)
        throw mismatch(e, `An event of the engine's stream is larger than ${limit} bytes.`);
      const out = pending;
      pending = [];
      yield* out;
    }
  } catch (err) {
    if (err instanceof outcome.StepError) throw err;
    throw linkBroken(
      e,
      `The engine's stream broke off: ${err instanceof Error ? err.message : ""}.`,
    );
  }
  if (!seen.done) throw linkBroken(e, "The engine's stream ended without its [DONE] marker.");
}
