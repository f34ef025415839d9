/**
 * Selects the headers to forward, from a caller to an endpoint and from an endpoint to a caller. Pure.
 * @module
 */

/** Headers by name; a header that occurs more than once may have a list of values. */
export type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "te",
  "trailer",
  "upgrade",
  "expect",
  "content-length",
]);

/**
 * Headers of a request that are forwarded to an endpoint: all but hop-by-hop headers, those that the `connection` header
 * lists, and those that only the system sets or reads (`removed`, in lower case).
 */
export function forRequest(
  headers: Headers,
  ...removed: readonly ReadonlySet<string>[]
): Record<string, string | readonly string[]> {
  const listedNames = connectionNames(headers);
  const out: Record<string, string | readonly string[]> = {};
  for (const [rawName, values] of Object.entries(headers)) {
    const name = rawName.toLowerCase();
    if (HOP_BY_HOP.has(name) || listedNames.has(name)) continue;
    if (removed.some((names) => names.has(name))) continue;
    if (values === undefined || values.length === 0) continue;
    out[name] = typeof values !== "string" && values.length === 1 ? (values[0] ?? "") : values;
  }
  return out;
}

/** Headers of an endpoint's answer that are forwarded to the caller. */
export function forAnswer(headers: Headers): Record<string, string | readonly string[]> {
  const out: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    out[name] = value;
  }
  return out;
}

/** Header names that the `connection` headers list, in lower case. */
function connectionNames(headers: Headers): ReadonlySet<string> {
  const lists = Object.entries(headers)
    .filter(([name]) => name.toLowerCase() === "connection")
    .flatMap(([, value]) => value ?? []);
  return new Set(lists.flatMap((l) => l.split(",")).map((n) => n.trim().toLowerCase()));
}
