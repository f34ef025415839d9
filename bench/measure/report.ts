/**
 * Sums up runs as rows, a table and a plot.
 * @module
 */
import * as echarts from "echarts";
import * as hdr from "hdr-histogram-js";
import * as command from "../../src/cli/command.js";
import type * as run from "./run.js";

/** Figures of one class in one run, in ms; the first half of the run warms up and is left out. */
export interface ClassRow {
  readonly class: string;
  readonly requests: number;
  readonly stallP50: number;
  readonly stallP95: number;
  readonly stallP99: number;
  readonly stallMean: number;
  readonly firstP95: number;
  /** Part that was refused or came after its deadline. */
  readonly missed: number;
}

/** Figures of one run. */
export interface Row {
  readonly deployment: string;
  readonly policy: string;
  readonly trouble: string;
  readonly seed: number;
  readonly batchFill: number;
  readonly loads: number;
  /** Worth of the requests served in time, of all worth asked. */
  readonly worthServed: number;
  /** Lowest part served in time of any caller, over the highest. */
  readonly fairness: number;
  readonly refillMs: number | undefined;
  /** Seconds after a shift until stalls were back within 1.1 of the steady mean. */
  readonly recoveredS: number | undefined;
  readonly classes: readonly ClassRow[];
}

const HIGHEST = 600_000;
const WINDOW_MS = 10_000;
const STEADY = 1.1;

function classRow(name: string, samples: readonly run.Sample[]): ClassRow {
  const stalls = hdr.build({ highestTrackableValue: HIGHEST, numberOfSignificantValueDigits: 3 });
  const firsts = hdr.build({ highestTrackableValue: HIGHEST, numberOfSignificantValueDigits: 3 });
  let sum = 0;
  for (const s of samples) {
    stalls.recordValue(Math.min(HIGHEST, Math.round(s.stallMs)));
    sum += s.stallMs;
    if (s.firstMs !== undefined) firsts.recordValue(Math.min(HIGHEST, Math.round(s.firstMs)));
  }
  return {
    class: name,
    requests: samples.length,
    stallP50: stalls.getValueAtPercentile(50),
    stallP95: stalls.getValueAtPercentile(95),
    stallP99: stalls.getValueAtPercentile(99),
    stallMean: sum / Math.max(1, samples.length),
    firstP95: firsts.getValueAtPercentile(95),
    missed: samples.filter((s) => s.late).length / Math.max(1, samples.length),
  };
}

function servedOf(samples: readonly run.Sample[]): number {
  const worth = samples.reduce((sum, s) => sum + s.worth, 0);
  const served = samples.reduce((sum, s) => sum + (s.late ? 0 : s.worth), 0);
  return served / Math.max(1, worth);
}

function groupBy(
  samples: readonly run.Sample[],
  key: (s: run.Sample) => string,
): ReadonlyMap<string, readonly run.Sample[]> {
  const out = new Map<string, run.Sample[]>();
  for (const s of samples) {
    const group = out.get(key(s));
    if (group) group.push(s);
    else out.set(key(s), [s]);
  }
  return out;
}

const meanStall = (samples: readonly run.Sample[]): number =>
  samples.reduce((sum, s) => sum + s.stallMs, 0) / Math.max(1, samples.length);

/** Seconds from the shift until the mean stall of a window is steady again. */
function recovered(p: run.Plan, samples: readonly run.Sample[]): number | undefined {
  if (p.trouble !== "shift") return undefined;
  const ms = p.minutes * 60_000;
  const steady = meanStall(samples.filter((s) => s.at >= ms / 4 && s.at < ms / 2));
  for (let from = ms / 2; from + WINDOW_MS <= ms; from += WINDOW_MS) {
    const window = samples.filter((s) => s.at >= from && s.at < from + WINDOW_MS);
    if (meanStall(window) <= STEADY * steady) return (from + WINDOW_MS - ms / 2) / 1000;
  }
  return Infinity;
}

/** Sums up one run. */
export function summarize(p: run.Plan, result: run.Result): Row {
  const half = (p.minutes * 60_000) / 2;
  const settled = result.samples.filter((s) => s.at >= half);
  const callers = [...groupBy(settled, (s) => s.caller).values()].map(servedOf);
  return {
    deployment: p.deployment.name,
    policy: p.policy.name,
    trouble: p.trouble,
    seed: p.seed,
    batchFill: result.batchFill,
    loads: result.loads,
    worthServed: servedOf(settled),
    fairness: Math.min(...callers) / Math.max(...callers),
    refillMs: result.refillMs,
    recoveredS: recovered(p, result.samples),
    classes: [...groupBy(settled, (s) => s.class)].map(([name, group]) => classRow(name, group)),
  };
}

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;

function spread(values: readonly number[], digits: number): string {
  const [low, high] = [Math.min(...values), Math.max(...values)];
  const mid = median(values).toFixed(digits);
  return values.length === 1 ? mid : `${mid} (${low.toFixed(digits)}-${high.toFixed(digits)})`;
}

/** Median over the seeds, with the lowest and highest, a row for each policy and class. */
export function table(rows: readonly Row[]): string {
  const head = [
    "DEPLOYMENT",
    "POLICY",
    "CLASS",
    "STALL P50",
    "STALL P95",
    "STALL P99",
    "STALL MEAN",
    "MISSED %",
    "BATCH FILL %",
    "LOADS",
    "WORTH %",
    "FAIRNESS",
    "REFILL S",
    "RECOVERED S",
  ];
  const out = [head];
  const groups = new Map<string, Row[]>();
  for (const r of rows) {
    const key = `${r.deployment} ${r.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), r]);
  }
  for (const group of groups.values()) {
    for (const name of group[0]?.classes.map((c) => c.class).sort() ?? []) {
      const classes = group.flatMap((r) => r.classes.filter((c) => c.class === name));
      out.push([
        group[0]?.deployment ?? "",
        group[0]?.policy ?? "",
        name,
        spread(
          classes.map((c) => c.stallP50),
          0,
        ),
        spread(
          classes.map((c) => c.stallP95),
          0,
        ),
        spread(
          classes.map((c) => c.stallP99),
          0,
        ),
        spread(
          classes.map((c) => c.stallMean),
          0,
        ),
        spread(
          classes.map((c) => 100 * c.missed),
          1,
        ),
        spread(
          group.map((r) => 100 * r.batchFill),
          1,
        ),
        spread(
          group.map((r) => r.loads),
          0,
        ),
        spread(
          group.map((r) => 100 * r.worthServed),
          1,
        ),
        spread(
          group.map((r) => r.fairness),
          2,
        ),
        group[0]?.refillMs === undefined
          ? "-"
          : spread(
              group.map((r) => (r.refillMs ?? 0) / 1000),
              1,
            ),
        group[0]?.recoveredS === undefined
          ? "-"
          : spread(
              group.map((r) => r.recoveredS ?? 0),
              0,
            ),
      ]);
    }
  }
  return command.formatTable(out);
}

const WIDTH = 900;
const HEIGHT = 420;

/** Bars of the 95th percentile of load stalls, by policy and class, as SVG. */
export function plot(rows: readonly Row[]): string {
  const chart = echarts.init(null, null, {
    renderer: "svg",
    ssr: true,
    width: WIDTH,
    height: HEIGHT,
  });
  const policies = [...new Set(rows.map((r) => `${r.deployment} ${r.policy}`))];
  const classes = [...new Set(rows.flatMap((r) => r.classes.map((c) => c.class)))];
  chart.setOption({
    title: { text: "Load stall, 95th percentile, ms (median of the seeds)" },
    legend: { top: 28 },
    grid: { left: 70, bottom: 90 },
    xAxis: { type: "category", data: policies, axisLabel: { rotate: 30 } },
    yAxis: { type: "value" },
    series: classes.map((name) => ({
      name,
      type: "bar",
      data: policies.map((key) => {
        const group = rows.filter((r) => `${r.deployment} ${r.policy}` === key);
        const found = group.flatMap((r) => r.classes.filter((c) => c.class === name));
        return found.length === 0 ? null : median(found.map((c) => c.stallP95));
      }),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
