/**
 * What callers, engines and the service saw, and whether it is allowed. This checker knows the
 * promises and shares no code with the daemons.
 * @module
 */

/** One request as its caller saw it. */
export interface Seen {
  /** The request's id as the entry daemon told it; empty when no answer came. */
  readonly id: string;
  readonly prompt: string;
  readonly model: string;
  readonly tokens: number;
  /** Undefined for requests that may be repeated. */
  readonly key: string | undefined;
  readonly during: string;
  readonly result:
    | { readonly kind: "answer"; readonly model: string; readonly text: string }
    | { readonly kind: "not_run" | "failed" | "unknown"; readonly code: string }
    /** Another request with the same key was there before. */
    | { readonly kind: "duplicate" }
    /** The connection broke with no word, or in the middle of an answer. */
    | { readonly kind: "broken" };
}

/** What an engine or service did, in order. */
export type Did =
  | { readonly kind: "run"; readonly id: string; readonly name: string; readonly prompt: string }
  | { readonly kind: "evicted-in-use"; readonly name: string }
  | { readonly kind: "service"; readonly body: string };

/** The whole answer that a request must get. */
function wanted(s: Seen, model: string): string {
  return Array.from({ length: s.tokens }, (_, i) => `${model}:${s.prompt}:${i} `).join("");
}

/** Every broken promise, a line each; none when all held. */
export function violations(seen: readonly Seen[], did: readonly Did[]): readonly string[] {
  const out: string[] = [];
  const runs = new Map<string, string[]>();
  for (const d of did) {
    switch (d.kind) {
      case "evicted-in-use":
        out.push(`${d.name} was evicted in use`);
        break;
      case "run":
        runs.set(d.prompt, [...(runs.get(d.prompt) ?? []), d.name]);
        break;
      case "service":
        runs.set(d.body, [...(runs.get(d.body) ?? []), "service"]);
        break;
    }
  }
  const byKey = new Map<string, Seen[]>();
  for (const s of seen) {
    const ran = runs.get(s.prompt) ?? [];
    if (s.result.kind === "not_run" && ran.length > 0) {
      out.push(`"${s.prompt}" was told not_run, and ran ${ran.length} times`);
    }
    if (s.result.kind === "answer") {
      const { model, text } = s.result;
      const named = s.model.includes("@") ? s.model : model;
      const right = s.model === "service" ? text === s.prompt : text === wanted(s, named);
      if (!right) out.push(`"${s.prompt}" for ${s.model} got "${text.slice(0, 80)}"`);
    }
    if (s.key !== undefined) byKey.set(s.key, [...(byKey.get(s.key) ?? []), s]);
  }
  for (const [key, group] of byKey) {
    const times = group.reduce((sum, s) => sum + (runs.get(s.prompt)?.length ?? 0), 0);
    if (times > 1) out.push(`the key ${key} ran ${times} times`);
  }
  return out;
}

/** How requests ended, by what failed while they ran. */
export interface Tally {
  readonly during: string;
  readonly requests: number;
  readonly answers: number;
  readonly duplicate: number;
  readonly not_run: number;
  readonly failed: number;
  readonly unknown: number;
  readonly broken: number;
}

/** Codes of the failures told, with how often, most often first. */
export function codes(seen: readonly Seen[], during: string): string {
  const counts = new Map<string, number>();
  for (const s of seen) {
    if (s.during !== during || !("code" in s.result)) continue;
    counts.set(s.result.code, (counts.get(s.result.code) ?? 0) + 1);
  }
  const sorted = [...counts].sort((a, b) => b[1] - a[1]);
  return sorted.map(([code, n]) => `${code} ${n}`).join(", ");
}

export function tally(seen: readonly Seen[]): readonly Tally[] {
  const names = ["nothing", ...new Set(seen.map((s) => s.during).filter((d) => d !== "nothing"))];
  return names.map((during) => {
    const group = seen.filter((s) => s.during === during);
    const count = (kind: Seen["result"]["kind"]): number =>
      group.filter((s) => s.result.kind === kind).length;
    return {
      during,
      requests: group.length,
      answers: count("answer"),
      duplicate: count("duplicate"),
      not_run: count("not_run"),
      failed: count("failed"),
      unknown: count("unknown"),
      broken: count("broken"),
    };
  });
}
