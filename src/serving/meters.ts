/**
 * Counters and latency histograms, in the text form that Prometheus reads.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as prom from "prom-client";
import * as addresses from "../host/address.js";
import * as errors from "../host/why.js";
import type * as record from "../host/record.js";

/** Upper bounds of the histograms, in ms: around the targets of 150 to 1,000 ms. */
const BUCKETS_MS = [10, 25, 50, 100, 150, 250, 400, 600, 1000, 1500, 2500, 5000, 10_000];
/** Routes, and teams, told apart; others share one label, so that the set stays bounded. */
const ROUTES = 64;
const TEAMS = 64;
const OTHER = "other";
/** Label of requests whose team is not known. */
const NO_TEAM = "none";

/** Why a worker takes no request of a host now, or only some: what it said of itself. */
export type Reason = "limit" | "leaving" | "pause";
/** A request was sent to such a worker, went on to another, or was refused since no other took it. */
export type Outcome = "sent" | "elsewhere" | "refused";

/** What is counted of one daemon. */
export interface Meters {
  readonly request: (
    route: string,
    ending: string,
    firstMs: number | undefined,
    tookMs: number,
  ) => void;
  /** A retry was wanted for a service; what it was charged to, if it was allowed. */
  readonly retry: (service: string, from: string | undefined) => void;
  /** A request was refused before it was served; its team where it is known. */
  readonly refused: (team: string | undefined, status: number) => void;
  /** A team used some units of its cap. */
  readonly used: (team: string, units: number) => void;
  /** What became of a request that a worker might have run which takes only some requests, or none for now. */
  readonly noticed: (service: string, reason: Reason, outcome: Outcome) => void;
  readonly gauge: (name: string, help: string, read: () => number) => void;
  /** The figures as text. */
  readonly text: () => Promise<string>;
}

export function open(): Meters {
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
  const routeLabel = bounded(ROUTES);
  const teamLabel = bounded(TEAMS);
  return {
    request: (name, ending, firstMs, tookMs) => {
      const route = routeLabel(name);
      requests.inc({ route, ending });
      if (firstMs !== undefined) first.observe({ route }, firstMs);
      took.observe({ route }, tookMs);
    },
    retry: (service, from = "denied") => {
      retries.inc({ service, from });
    },
    refused: (team, status) => {
      refusals.inc({ team: team === undefined ? NO_TEAM : teamLabel(team), status });
    },
    used: (team, n) => {
      units.inc({ team: teamLabel(team) }, n);
    },
    noticed: (service, reason, outcome) => {
      noticed.inc({ service, reason, outcome });
    },
    gauge: (name, help, read) => {
      new prom.Gauge({
        name,
        help,
        registers: [gauges],
        collect() {
          this.set(read());
        },
      });
    },
    // Gauges first: they are few, and a collector that cuts a long text keeps them.
    text: async () => `${await gauges.metrics()}\n${await registry.metrics()}`,
  };
}

/** Gives the first `most` names as labels, and one label to all others. */
function bounded(most: number): (name: string) => string {
  const known = new Set<string>();
  return (name) => {
    if (known.has(name)) return name;
    if (known.size >= most) return OTHER;
    known.add(name);
    return name;
  };
}

/** Serves the figures at `ip:port`; resolves once it listens. */
export async function serve(meters: Meters, address: string): Promise<http.Server> {
  const server = http.createServer((_req, res) => {
    meters.text().then(
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

/** Serves the figures, or says why that cannot be; requests go on without them. */
export async function tryServe(meters: Meters, address: string, lg: record.Log): Promise<void> {
  try {
    const server = await serve(meters, address);
    const { port } = server.address() as net.AddressInfo;
    lg.info("The figures are served.", { port });
  } catch (err) {
    lg.error("The figures cannot be served.", { address, why: errors.why(err) });
  }
}
