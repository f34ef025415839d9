/**
 * How the end of an HTTP/1.1 answer's body is marked (RFC 9112, section 6.3). Pure.
 * @module
 */
import type * as headers from "../headers.js";

/** There is no body, its length is announced, it comes in chunks, or it ends with its connection. */
export type Framing = "empty" | "length" | "chunked" | "close";

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** The framing of a final answer to a request with this method. */
export function framingOf(method: string, status: number, received: headers.Headers): Framing {
  if (method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED) return "empty";
  const codings = [received["transfer-encoding"] ?? []].flat().join(",").toLowerCase().split(",");
  if (codings.at(-1)?.trim() === "chunked") return "chunked";
  if (codings.join("").trim() === "" && received["content-length"] !== undefined) return "length";
  return "close";
}
