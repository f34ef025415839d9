/**
 * Metrics over StatsD, with histograms for each caller and class. The set of label values is
 * bounded, so that nobody outside can grow it.
 * @module
 */
import * as hotShots from "hot-shots";
import * as hdr from "hdr-histogram-js";

/** What is observed, in milliseconds but for `batch_fill`, which is seats used in 100. */
export type Histogram =
  "first_token" | "between_tokens" | "load_stall" | "queue_wait" | "batch_fill" | "in_force";
export type Counter =
  "requests" | "refused" | "failed" | "unknown" | "retries" | "loads" | "evictions";

/** Who a figure is for; both come from the intent, never from a request. */
export interface Labels {
  readonly caller: string;
  readonly class: string;
}

/** Percentiles of one histogram of one caller and class. */
export interface Summary extends Labels {
  readonly name: Histogram;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export interface Metrics {
  readonly observe: (name: Histogram, value: number, labels: Labels) => void;
  readonly count: (name: Counter, labels: Labels) => void;
  readonly summaries: () => readonly Summary[];
  readonly close: () => void;
}

/** Pairs of caller and class told apart; later ones share one label. */
const LABEL_SETS = 200;
const OTHER: Labels = { caller: "other", class: "other" };
/** Labels of figures that belong to no caller. */
export const SYSTEM: Labels = { caller: "system", class: "system" };
const HIGHEST = 3_600_000;

function connect(daemon: string, address: string): hotShots.StatsD {
  const [host, port] = address.split(":");
  return new hotShots.StatsD({
    prefix: "sumacfield.",
    globalTags: { daemon },
    ...(host && { host, port: Number(port) }),
    errorHandler: () => undefined,
  });
}

/** Sends to the StatsD server at `address` (`ip:port`); without one, figures are only kept here. */
export function open(daemon: string, address: string | undefined): Metrics {
  const client = address === undefined ? undefined : connect(daemon, address);
  const known = new Map<string, Labels>();
  const kept = new Map<string, { labels: Labels; name: Histogram; values: hdr.Histogram }>();

  function bounded(l: Labels): Labels {
    const key = `${l.caller}/${l.class}`;
    const have = known.get(key);
    if (have) return have;
    if (known.size >= LABEL_SETS) return OTHER;
    known.set(key, l);
    return l;
  }

  return {
    observe: (name, value, labels) => {
      const l = bounded(labels);
      client?.histogram(name, value, { caller: l.caller, class: l.class });
      const key = `${name}/${l.caller}/${l.class}`;
      let at = kept.get(key);
      if (!at) {
        const values = hdr.build({
          highestTrackableValue: HIGHEST,
          numberOfSignificantValueDigits: 2,
        });
        at = { labels: l, name, values };
        kept.set(key, at);
      }
      at.values.recordValue(Math.min(HIGHEST, Math.max(0, Math.round(value))));
    },
    count: (name, labels) => {
      const l = bounded(labels);
      client?.increment(name, 1, { caller: l.caller, class: l.class });
    },
    summaries: () =>
      [...kept.values()].map(({ labels, name, values }) => ({
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
