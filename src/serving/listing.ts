/**
 * Between an engine's report, the endpoint daemon's own state, and what entry daemons are told of it.
 * Pure.
 * @module
 */
import * as catalog from "./catalog.js";
import type * as engine from "./engine.js";
import type * as residency from "./residency.js";
import type * as seat from "./seat.js";

function listed(model: string, held: engine.Held, pending: boolean): residency.Listed {
  const { adapter, version } = held;
  return { key: catalog.adapterKey(model, adapter), model, adapter, version, pending };
}

/** The adapters that a report lists, those on their way in included. */
export function adapters(report: engine.Report): readonly residency.Listed[] {
  const there = report.models.flatMap((m) => m.adapters.map((a) => listed(m.name, a, false)));
  const coming = report.pending.map((p) => listed(p.model, p, true));
  return [...there, ...coming];
}

/** What entry daemons are told of the adapters that an engine holds, and how many others load fast. */
export function holdings(s: residency.State, reach: number): seat.Holdings {
  const usable = [...s.slots.values()].filter(
    (p) => p.phase === "resident" || p.phase === "loading",
  );
  return { kind: "holdings", models: s.models, resident: usable.map((p) => p.key), reach };
}
