/**
 * Counters, latency histograms and gauges of one daemon, served in the Prometheus text format.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as prom from "prom-client";
import * as addresses from "../host/address.js";
import * as errors from "../host/errors.js";
import type * as evidence from "./answers/evidence.js";
import type * as completeness from "./answers/completeness.js";
import type * as framings from "./answers/framing.js";
import type * as origins from "./continuation/origins.js";
import type * as structuredLog from "../host/structured-log.js";
import type * as memoryBudget from "./buffering/memory-budget.js";
import type * as suspicion from "./suspicion.js";
import type * as declared from "./versions/declared.js";

/** Upper bounds of the histogram buckets, in ms; they lie around the latency targets of 150 to 1,000 ms. */
const BUCKETS_MS = [10, 25, 50, 100, 150, 250, 400, 600, 1000, 1500, 2500, 5000, 10_000];
/** Number of routes with a label of their own; further ones share {@link OTHER_LABEL}, to bound the number of series. */
const MAX_ROUTE_LABELS = 64;
/** Number of teams with a label of their own, likewise. */
const MAX_TEAM_LABELS = 64;
const OTHER_LABEL = "other";
/** Label of requests without a known team. */
const NO_TEAM_LABEL = "none";

/** Why a worker takes no requests of a host for now, or only some, as it announced: a rate limit, shutdown, or a pause. */
export type NoticeReason = "limit" | "leaving" | "pause";
/** What became of a request for such a worker: sent to it, sent to another, or refused because no other took it. */
export type NoticeOutcome = "sent" | "elsewhere" | "refused";

/** What became of a retry: the budget allowed it, was used up, or was reserved for more urgent ones. */
export type RetryOutcome = "allowed" | "exhausted" | "reserved";
/**
 * What became of the hedge of a call: its answer was passed on (`won`), that of the first send was (`lost`), neither send
 * was answered well (`failed`), or the hedge was due but not sent (`unsent`).
 */
export type HedgeOutcome = "won" | "lost" | "failed" | "unsent";

/** How a stream goes on: within the answer that it broke in, or in a new attempt of its caller. */
export type ContinuationKind = "in_answer" | "new_attempt";
/** How the origin of a stream that a caller resumes was known, or why it goes on nowhere. */
export type ResumptionOutcome = origins.Source | origins.UnknownReason | "moved";
/** Whether a stream goes on at the software version that began it, as far as this host knows. */
export type ContinuationMatch = "same" | "other" | "unknown";

/** Why a caller's connection was closed: too many are open, or too many have bytes that wait to be parsed. */
export type ClosedReason = "connections" | "waiting";

/** By what a send counts as answered, not run or unknown. */
export interface SendEvidence {
  readonly proof: evidence.Proof["kind"];
  /** What the head of its answer states; undefined if none arrived. */
  readonly statement: evidence.Statement | undefined;
  /** Whether its connection had carried the same request before. */
  readonly connection: "new" | "repeated";
}

/** Records the metrics of one daemon. */
export interface Metrics {
  /** A request ended. `firstMs` is the time to the first byte of the response, if there was one. */
  readonly recordRequest: (
    route: string,
    ending: string,
    firstMs: number | undefined,
    tookMs: number,
  ) => void;
  /** A request of a service was sent, and it is decided what that proves. */
  readonly recordEvidence: (service: string, e: SendEvidence) => void;
  /** The body of a worker's answer has come to its end. */
  readonly recordAnswerEnd: (
    framing: framings.Framing,
    end: completeness.Completeness["kind"],
  ) => void;
  /** A request of a service needed a retry. `from` is the budget that was charged; undefined if the retry was denied. */
  readonly recordRetry: (service: string, from: string | undefined) => void;
  /** A request of a route with this rank needed a retry. */
  readonly recordRetryByRank: (rank: number, outcome: RetryOutcome) => void;
  /** A request was refused before it was dispatched. `team` is undefined if it is not known. */
  readonly recordRefusal: (team: string | undefined, status: number) => void;
  /** A team used some units of its cap. */
  readonly recordUsage: (team: string, units: number) => void;
  /** A seat was granted to a team for a request of some tokens. `team` is undefined if the request has none. */
  readonly recordGrant: (team: string | undefined, tokens: number) => void;
  /** A request could have gone to a worker that announced to take only some requests, or none for now. */
  readonly recordNotice: (service: string, reason: NoticeReason, outcome: NoticeOutcome) => void;
  /** A request of a route with this rank was refused because the host's event loop was behind. */
  readonly recordLagRefusal: (rank: number) => void;
  /** A request was refused because of its wait; `waitRatio` is that wait as a fraction of the longest admitted one. */
  readonly recordWaitRefusal: (rank: number, waitRatio: number) => void;
  /** The caller of a request of a route with this rank was told when to retry; `limited`: at its latest time, not a free one. */
  readonly recordReturn: (rank: number, outcome: "booked" | "limited") => void;
  /** A stream that broke was sent to a worker to go on. */
  readonly recordContinuation: (
    service: string,
    how: ContinuationKind,
    match: ContinuationMatch,
  ) => void;
  /** A caller resumed a stream of a service. */
  readonly recordResumption: (service: string, outcome: ResumptionOutcome) => void;
  /** The hedge of a call was due. */
  readonly recordHedge: (service: string, outcome: HedgeOutcome) => void;
  /** A request was ended, or its body refused, to keep to the memory budget. */
  readonly recordMemory: (
    outcome: "ended" | "refused",
    reason: memoryBudget.EndReason | memoryBudget.RefusalReason,
  ) => void;
  /** A caller's connection was closed to keep to a limit. */
  readonly recordClosedConnection: (reason: ClosedReason) => void;
  /** A request was open when the process ended: how much of its answer had been sent. */
  readonly recordCutOff: (answer: "none" | "begun") => void;
  /** A worker crashed while it ran a request of a service; `verdict` is the one on the request after that crash. */
  readonly recordCrash: (service: string, verdict: suspicion.Verdict["kind"]) => void;
  /** A request for an adapter was sent to an engine of a service, with a granted seat or with none. */
  readonly recordAdapterSend: (
    service: string,
    seat: "granted" | "none",
    version: declared.Match,
  ) => void;
  /** Adds a gauge whose value `read` returns. */
  readonly addGauge: (name: string, help: string, read: () => number) => void;
  /** The metrics in the Prometheus text format. */
  readonly text: () => Promise<string>;
}

/** Creates the metrics of one daemon. */
export function create(): Metrics {
  const registry = new prom.Registry();
  const gauges = new prom.Registry();
  const registers = [registry];
  const counter = (name: string, help: string, ...labelNames: readonly string[]) =>
    new prom.Counter({ name, help, labelNames, registers });
  const histogram = (name: string, help: string) =>
    new prom.Histogram({ name, help, labelNames: ["route"], buckets: BUCKETS_MS, registers });
  const requests = counter(
    "sumacfield_requests_total",
    "Requests over, by route and ending.",
    "route",
    "ending",
  );
  const first = histogram(
    "sumacfield_first_event_ms",
    "Milliseconds until the first byte of the answer, by route.",
  );
  const took = histogram(
    "sumacfield_request_ms",
    "Milliseconds until a request was over, by route.",
  );
  const answerEnds = counter(
    "sumacfield_answer_ends_total",
    "Bodies of workers' answers, by how their end is marked and whether they are complete.",
    "framing",
    "end",
  );
  const sends = counter(
    "sumacfield_send_evidence_total",
    "Sends, by service, what they prove, by which status and whose answer, and whether the connection had carried the request.",
    "service",
    "proof",
    "status",
    "names",
    "connection",
  );
  const refusals = counter(
    "sumacfield_refusals_total",
    "Requests refused before they were served, by team and status.",
    "team",
    "status",
  );
  const retries = counter(
    "sumacfield_retries_total",
    "Retries that were wanted, by service and what they were charged to.",
    "service",
    "from",
  );
  const retriesByRank = counter(
    "sumacfield_retries_by_rank_total",
    "Retries that were wanted, by rank and whether the budget allowed them.",
    "rank",
    "outcome",
  );
  const units = counter(
    "sumacfield_team_units_total",
    "Units of its cap that a team used at this host, requests or tokens.",
    "team",
  );
  const noticed = counter(
    "sumacfield_noticed_total",
    "Requests before workers that take only some or none, by service, why, and what became of them.",
    "service",
    "reason",
    "outcome",
  );
  const lagRefusals = counter(
    "sumacfield_lag_refusals_total",
    "Requests refused because the event loop was behind, by rank.",
    "rank",
  );
  const waitRefusals = counter(
    "sumacfield_wait_refusals_total",
    "Requests refused because of their wait, by rank, and whether it was within the longest admitted one.",
    "rank",
    "wait",
  );
  const returns = counter(
    "sumacfield_returns_total",
    "Retry times told to refused callers, by rank, and whether one was free before their latest time.",
    "rank",
    "outcome",
  );
  const hedges = counter(
    "sumacfield_hedges_total",
    "Hedges of calls that were due, by service and what became of them.",
    "service",
    "outcome",
  );
  const continuations = counter(
    "sumacfield_streams_continued_total",
    "Streams sent to a worker to go on, by service, how, and whether its software is of the version that began them.",
    "service",
    "how",
    "version",
  );
  const resumptions = counter(
    "sumacfield_streams_resumed_total",
    "Streams that callers resumed, by service, and how their origin was known or why they cannot go on.",
    "service",
    "outcome",
  );
  const grants = counter(
    "sumacfield_team_granted_tokens_total",
    "Prompt and expected answer tokens of the seats granted to a team on this engine.",
    "team",
  );
  const memory = counter(
    "sumacfield_memory_total",
    "Requests ended, and bodies and heads refused, to keep to the memory budget, by reason.",
    "outcome",
    "reason",
  );
  const closedConnections = counter(
    "sumacfield_connections_closed_total",
    "Connections of callers that were closed to keep to a limit, by reason.",
    "reason",
  );
  const cutOff = counter(
    "sumacfield_requests_cut_off_total",
    "Requests that were open when the process ended, by how much of their answer had been sent.",
    "answer",
  );
  const crashes = counter(
    "sumacfield_crashed_sends_total",
    "Sends under which a worker crashed, by service and the verdict on the request after the crash.",
    "service",
    "verdict",
  );
  const adapterSends = counter(
    "sumacfield_adapter_sends_total",
    "Sends of requests for adapters, by service, whether a seat was granted, and the version named against the newest known.",
    "service",
    "seat",
    "version",
  );
  const routeLabel = boundedLabel(MAX_ROUTE_LABELS);
  const teamLabel = boundedLabel(MAX_TEAM_LABELS);
  return {
    recordRequest: (name, ending, firstMs, tookMs) => {
      const route = routeLabel(name);
      requests.inc({ route, ending });
      if (firstMs !== undefined) first.observe({ route }, firstMs);
      took.observe({ route }, tookMs);
    },
    recordEvidence: (service, { proof, statement, connection }) => {
      const { status = "none", subject = "none" } = statement ?? {};
      sends.inc({ service, proof, status, names: subject, connection });
    },
    recordAnswerEnd: (framing, end) => {
      answerEnds.inc({ framing, end });
    },
    recordRetry: (service, from = "denied") => {
      retries.inc({ service, from });
    },
    recordRetryByRank: (rank, outcome) => {
      retriesByRank.inc({ rank, outcome });
    },
    recordRefusal: (team, status) => {
      refusals.inc({ team: team === undefined ? NO_TEAM_LABEL : teamLabel(team), status });
    },
    recordUsage: (team, n) => {
      units.inc({ team: teamLabel(team) }, n);
    },
    recordGrant: (team, n) => {
      grants.inc({ team: team === undefined ? NO_TEAM_LABEL : teamLabel(team) }, n);
    },
    recordNotice: (service, reason, outcome) => {
      noticed.inc({ service, reason, outcome });
    },
    recordLagRefusal: (rank) => {
      lagRefusals.inc({ rank });
    },
    recordWaitRefusal: (rank, waitRatio) => {
      waitRefusals.inc({ rank, wait: waitRatio > 1 ? "above" : "within" });
    },
    recordReturn: (rank, outcome) => {
      returns.inc({ rank, outcome });
    },
    recordContinuation: (service, how, version) => {
      continuations.inc({ service, how, version });
    },
    recordResumption: (service, outcome) => {
      resumptions.inc({ service, outcome });
    },
    recordHedge: (service, outcome) => {
      hedges.inc({ service, outcome });
    },
    recordMemory: (outcome, reason) => {
      memory.inc({ outcome, reason });
    },
    recordClosedConnection: (reason) => {
      closedConnections.inc({ reason });
    },
    recordCutOff: (answer) => {
      cutOff.inc({ answer });
    },
    recordCrash: (service, verdict) => {
      crashes.inc({ service, verdict });
    },
    recordAdapterSend: (service, seat, version) => {
      adapterSends.inc({ service, seat, version });
    },
    addGauge: (name, help, read) => {
      new prom.Gauge({
        name,
        help,
        registers: [gauges],
        collect() {
          this.set(read());
        },
      });
    },
    // Gauges come first: they are few, and a collector that truncates a long text keeps them.
    text: async () => `${await gauges.metrics()}\n${await registry.metrics()}`,
  };
}

/** Uses the first `most` names as labels, and {@link OTHER_LABEL} for all others. */
function boundedLabel(most: number): (name: string) => string {
  const labels = new Set<string>();
  return (name) => {
    if (labels.has(name)) return name;
    if (labels.size >= most) return OTHER_LABEL;
    labels.add(name);
    return name;
  };
}

/** Serves the metrics over HTTP at `ip:port`. Resolves once the server listens. */
export async function serve(metrics: Metrics, address: string): Promise<http.Server> {
  const server = http.createServer((_req, res) => {
    metrics.text().then(
      (text) => {
        res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
        res.end(text);
      },
      (err: unknown) => {
        res.writeHead(500);
        res.end(String(err));
      },
    );
  });
  await addresses.listen(server, address);
  return server;
}

/** Serves the metrics like {@link serve}. Logs a failure instead of throwing, as the daemon can work without metrics. */
export async function tryServe(
  metrics: Metrics,
  address: string,
  lg: structuredLog.Log,
): Promise<void> {
  try {
    const server = await serve(metrics, address);
    const { port } = server.address() as net.AddressInfo;
    lg.info("The metrics are served.", { port });
  } catch (err) {
    lg.error("The metrics cannot be served.", { address, why: errors.messageOf(err) });
  }
}
