/**
 * Where a day's worth went, as tables: by route, by the second, by reason, and by what late answers
 * spent their time on. Pure.
 * @module
 */
import type * as lines from "./lines.js";

export type Row = Readonly<Record<string, string | number>>;

/** Seconds of one row of the table over time. */
const SPAN_S = 2;

function quantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * part));
  return Math.round(sorted[at] ?? 0);
}

export function isLate(r: lines.Over): boolean {
  return r.ending === "whole" && r.firstMs !== undefined && r.firstMs > r.targetMs;
}

function counts(list: readonly lines.Over[]): Row {
  const whole = list.filter((r) => r.ending === "whole");
  const late = whole.filter(isLate);
  const firsts = whole.flatMap((r) => r.firstMs ?? []);
  return {
    requests: list.length,
    "on time": whole.length - late.length,
    late: late.length,
    refused: list.filter((r) => r.ending === "refused").length,
    left: list.filter((r) => r.ending === "left").length,
    failed: list.filter(
      (r) => r.ending !== "whole" && r.ending !== "refused" && r.ending !== "left",
    ).length,
    "first p50": quantile(firsts, 0.5),
    "first p90": quantile(firsts, 0.9),
  };
}

function grouped<K extends string | number>(
  list: readonly lines.Over[],
  key: (r: lines.Over) => K,
): ReadonlyMap<K, readonly lines.Over[]> {
  const groups = new Map<K, lines.Over[]>();
  for (const r of list) groups.set(key(r), [...(groups.get(key(r)) ?? []), r]);
  return groups;
}

/** What became of the requests of each route. */
export function byRoute(day: lines.Day): readonly Row[] {
  return [...grouped(day.requests, (r) => r.route)].map(([route, list]) => ({
    route,
    ...counts(list),
  }));
}

const NO_TEAM = "-";
const OVER_CAP = 429;

/** What became of the requests of each team, what it used, and how many of its requests its cap turned away. */
export function byTeam(day: lines.Day): readonly Row[] {
  const groups = grouped(day.requests, (r) => r.team ?? NO_TEAM);
  const refused = day.refusals.map((r) => r.team ?? NO_TEAM);
  return [...new Set([...groups.keys(), ...refused])].sort().map((team) => {
    const list = groups.get(team) ?? [];
    const away = day.refusals.filter((r) => (r.team ?? NO_TEAM) === team);
    return {
      team,
      ...counts(list),
      units: list.reduce((sum, r) => sum + (r.units ?? 0), 0),
      "cap a second": day.usedUp.findLast((t) => t.total === `team/${team}`)?.perS ?? "",
      "over the cap": away.filter((r) => r.status === OVER_CAP).length,
      "not let in": away.length,
    };
  });
}

/** The same over time. */
export function byTime(day: lines.Day): readonly Row[] {
  const spans = [...grouped(day.requests, (r) => Math.floor(r.atS / SPAN_S) * SPAN_S)];
  return spans.sort(([a], [b]) => a - b).map(([s, list]) => ({ "from s": s, ...counts(list) }));
}

/** Why requests were not answered whole, numbers and names of endpoints left out. */
export function byReason(day: lines.Day): readonly Row[] {
  const bad = day.requests.filter((r) => r.ending !== "whole");
  const reason = (r: lines.Over): string => {
    const why = (r.why ?? "").replaceAll(/\bi-[0-9a-f]+/g, "ENDPOINT").replaceAll(/\d+/g, "#");
    return `${r.route}\t${r.ending}\t${why}`;
  };
  return [...grouped(bad, reason)]
    .sort((a, b) => b[1].length - a[1].length)
    .map(([key, list]) => {
      const [route = "", ending = "", why = ""] = key.split("\t");
      const took = list.map((r) => r.tookMs);
      return { route, ending, requests: list.length, "took p50": quantile(took, 0.5), why };
    });
}

/** What late answers spent their time on until the first event, and what was expected. */
export function late(day: lines.Day): readonly Row[] {
  return [...grouped(day.requests.filter(isLate), (r) => r.route)].map(([route, list]) => ({
    route,
    late: list.length,
    "seat p50": quantile(
      list.map((r) => r.seatMs),
      0.5,
    ),
    "seat p90": quantile(
      list.map((r) => r.seatMs),
      0.9,
    ),
    "rest p50": quantile(
      list.map((r) => (r.firstMs ?? 0) - r.seatMs),
      0.5,
    ),
    "rest p90": quantile(
      list.map((r) => (r.firstMs ?? 0) - r.seatMs),
      0.9,
    ),
    "expected p50": quantile(
      list.flatMap((r) => r.expectedMs ?? []),
      0.5,
    ),
  }));
}

/** Orders to engines, and how many of them were for adapters ordered before. */
export function orders(day: lines.Day): readonly Row[] {
  const adapters = day.orders.filter((o) => o.adapter !== undefined && o.order === "load");
  const names = adapters.map((o) => `${o.model}/${o.adapter}@${o.version ?? 0}`);
  const places = adapters.map((o) => `${o.daemon} ${o.model}/${o.adapter}@${o.version ?? 0}`);
  return [
    {
      orders: day.orders.length,
      "loads of adapters": adapters.length,
      "distinct adapters": new Set(names).size,
      "distinct on their engine": new Set(places).size,
      "not accepted": day.orders.filter((o) => o.result !== "accepted").length,
    },
  ];
}

/** Requests told of where workers ended, the likeliest causes first. */
const CAUSES = 10;

/** Under which requests workers ended: the cause has one end for each worker, its company one or two. */
export function ends(day: lines.Day): readonly Row[] {
  const groups = new Map<string, lines.End[]>();
  for (const e of day.ends) groups.set(e.identity, [...(groups.get(e.identity) ?? []), e]);
  const rows = [...groups].map(([identity, list]) => ({
    identity,
    "workers ended": new Set(list.map((e) => e.endpoint)).size,
    "entry hosts": new Set(list.map((e) => e.daemon)).size,
    attempts: new Set(list.map((e) => e.request)).size,
    verdict: list.at(-1)?.verdict ?? "",
  }));
  return rows.sort((a, b) => b["workers ended"] - a["workers ended"]).slice(0, CAUSES);
}
