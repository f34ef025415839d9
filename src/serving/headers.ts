/**
 * Which headers go on: from a caller to an endpoint, and from an endpoint to a caller. Pure.
 * @module
 */

export type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Headers that concern one connection alone. */
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
 * The headers of a request that go on to an endpoint: without those of one connection, those that
 * `connection` names, and those that only the system sets or reads (`kept`, in lower case).
 */
export function forRequest(
  headers: Headers,
  ...kept: readonly ReadonlySet<string>[]
): Record<string, string | readonly string[]> {
  const named = connectionNames(headers);
  const out: Record<string, string | readonly string[]> = {};
  for (const [spelt, values] of Object.entries(headers)) {
    const name = spelt.toLowerCase();
    if (HOP_BY_HOP.has(name) || named.has(name)) continue;
    if (kept.some((names) => names.has(name))) continue;
    if (values === undefined || values.length === 0) continue;
    out[name] = typeof values !== "string" && values.length === 1 ? (values[0] ?? "") : values;
  }
  return out;
}

/** The headers of an endpoint's answer that go on to the caller. */
export function forAnswer(headers: Headers): Record<string, string | readonly string[]> {
  const out: Record<string, string | readonly string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name)) continue;
    out[name] = value;
  }
  return out;
}

/** Names that a `connection` header lists, in lower case. */
function connectionNames(headers: Headers): ReadonlySet<string> {
  const lists = Object.entries(headers)
    .filter(([name]) => name.toLowerCase() === "connection")
    .flatMap(([, value]) => value ?? []);
  return new Set(lists.flatMap((l) => l.split(",")).map((n) => n.trim().toLowerCase()));
}
