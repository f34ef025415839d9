/**
 * Metrics sent to StatsD, with histograms for each caller and class. The number of label sets is
 * bounded, so that outside traffic can't grow it without limit.
 * @module
 */
import * as hotShots from "hot-shots";
import * as hdr from "hdr-histogram-js";

/** Histograms. Values are milliseconds, except for `batch_fill`: the percentage of seats in use. */
export type Histogram =
  "first_token" | "between_tokens" | "load_stall" | "queue_wait" | "batch_fill" | "in_force";
/** Counters, each incremented by one. */
export type Counter =
  "requests" | "refused" | "failed" | "unknown" | "retries" | "loads" | "evictions";

/** Whose value it is. Both labels come from the intent, never from a request. */
export interface Labels {
  readonly caller: string;
  readonly class: string;
}

/** Percentiles of one histogram for one caller and class. */
export interface Summary extends Labels {
  readonly name: Histogram;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Records values, and summarizes those recorded since the start. */
export interface Metrics {
  readonly observe: (name: Histogram, value: number, labels: Labels) => void;
  readonly count: (name: Counter, labels: Labels) => void;
  readonly summaries: () => readonly Summary[];
  readonly close: () => void;
}

/** Most pairs of caller and class that are recorded separately; further ones share `OTHER_LABELS`. */
const MAX_LABEL_SETS = 200;
const OTHER_LABELS: Labels = { caller: "other", class: "other" };
/** Labels of values that belong to no caller. */
export const SYSTEM_LABELS: Labels = { caller: "system", class: "system" };
/** Highest value a histogram records, in ms (one hour); higher ones are recorded as this. */
const MAX_VALUE = 3_600_000;

function connect(daemon: string, address: string): hotShots.StatsD {
  const [host, port] = address.split(":");
  return new hotShots.StatsD({
    prefix: "sumacfield.",
    globalTags: { daemon },
    ...(host && { host, port: Number(port) }),
    errorHandler: () => undefined,
  });
}

/** Sends to the StatsD server at `address` (`ip:port`); without one, values are only kept in memory. */
export function open(daemon: string, address: string | undefined): Metrics {
  const client = address === undefined ? undefined : connect(daemon, address);
  const labelSets = new Map<string, Labels>();
  const histograms = new Map<string, { labels: Labels; name: Histogram; values: hdr.Histogram }>();

  function boundLabels(l: Labels): Labels {
    const key = `${l.caller}/${l.class}`;
    const existing = labelSets.get(key);
    if (existing) return existing;
    if (labelSets.size >= MAX_LABEL_SETS) return OTHER_LABELS;
    labelSets.set(key, l);
    return l;
  }

  return {
    observe: (name, value, labels) => {
      const l = boundLabels(labels);
      client?.histogram(name, value, { caller: l.caller, class: l.class });
      const key = `${name}/${l.caller}/${l.class}`;
      let entry = histograms.get(key);
      if (!entry) {
        const values = hdr.build({
          highestTrackableValue: MAX_VALUE,
          numberOfSignificantValueDigits: 2,
        });
        entry = { labels: l, name, values };
        histograms.set(key, entry);
      }
      entry.values.recordValue(Math.min(MAX_VALUE, Math.max(0, Math.round(value))));
    },
    count: (name, labels) => {
      const l = boundLabels(labels);
      client?.increment(name, 1, { caller: l.caller, class: l.class });
    },
    summaries: () =>
      [...histograms.values()].map(({ labels, name, values }) => ({
        ...labels,
        name,
        count: values.totalCount,
        p50: values.getValueAtPercentile(50),
        p95: values.getValueAtPercentile(95),
        p99: values.getValueAtPercentile(99),
      })),
    close: () => {
      client?.close(() => undefined);
    },
  };
}
