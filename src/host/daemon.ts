/**
 * Assembles the components that every daemon has: settings, logs, metrics, a rate-limited client of
 * the store, the list of hosts, the configuration feed, and authenticated links to its peers.
 * @module
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as control from "../link/control.js";
import * as controls from "../link/control.js";
import * as keys from "../link/keys.js";
import * as tokenBucket from "../store/token-bucket.js";
import * as etcd from "../store/etcd.js";
import * as hosts from "../store/hosts.js";
import type * as store from "../store/store.js";
import * as clock from "./clock.js";
import * as intentFeed from "./intent-feed.js";
import * as log from "./log.js";
import * as members from "./members.js";
import * as statsdMetrics from "./statsd-metrics.js";
import * as settings from "./settings.js";

/** Settings common to all daemons. */
export const SETTINGS = {
  name: settings.text("name", {
    help: "Name of this daemon; for an endpoint daemon, the name of its Endpoint object.",
  }),
  failureDomain: settings.text("failureDomain", { help: "Failure domain of this host." }),
  linkAddress: settings.address("linkAddress", {
    help: "Address on which other daemons reach this one; port 0 takes a free port.",
  }),
  storeUrl: settings.url("storeUrl", { help: "The configuration store's etcd v3 JSON gateway." }),
  hostsUrl: settings.url("hostsUrl", { help: "The platform's list of hosts." }),
  clusterKeys: settings.secrets("clusterKeys", keys.MIN_KEY_BYTES, {
    help: "Keys that authenticate daemons to each other; the first signs, all are accepted.",
  }),
  statsdAddress: settings.optionalText("statsdAddress", {
    help: "StatsD server for metrics, as ip:port; without it metrics appear only in `status`.",
  }),
  logLevel: settings.oneOf("logLevel", ["debug", "info", "warn", "error"], {
    help: "Lowest level that is logged.",
    default: "info",
  }),
  logFormat: settings.oneOf("logFormat", ["text", "json"], {
    help: "Format of log lines.",
    default: "text",
  }),
  storeTimeoutMs: settings.int("storeTimeoutMs", 1, {
    help: "Timeout of one call to the store, in ms.",
    default: "1000",
  }),
  storeCallsPerS: settings.int("storeCallsPerS", 1, {
    help: "Limit on calls to the store, per second; a watch counts once, when it is opened.",
    default: "50",
  }),
  controlTimeoutMs: settings.int("controlTimeoutMs", 1, {
    help: "Timeout of one control call to a peer, in ms.",
    default: "1000",
  }),
  hostsEveryMs: settings.int("hostsEveryMs", 10, {
    help: "Interval between reads of the list of hosts, in ms.",
    default: "2000",
  }),
  syncEveryMs: settings.int("syncEveryMs", 10, {
    help: "Interval between requests to a peer for newer intent, in ms.",
    default: "1000",
  }),
  storeCheckMs: settings.int("storeCheckMs", 10, {
    help: "Interval between reads of the store's head by a daemon that watches it, in ms.",
    default: "2000",
  }),
  watchers: settings.int("watchers", 1, {
    help: "Number of daemons in one failure domain that watch the store.",
    default: "2",
  }),
  fanout: settings.int("fanout", 1, {
    help: "Number of peers that a daemon forwards a new change to.",
    default: "3",
  }),
  drainMs: settings.int("drainMs", 0, {
    help: "Time for which a draining daemon still accepts connections while others learn of it, in ms.",
    default: "1000",
  }),
} as const;

/** Validated values of the common settings. */
export type Config = settings.Values<typeof SETTINGS>;

/** The components of one daemon. */
export interface Parts {
  readonly cfg: Config;
  readonly epoch: string;
  readonly clock: clock.Clock;
  readonly random: () => number;
  readonly logOf: (part: string) => log.Log;
  readonly metrics: statsdMetrics.Metrics;
  readonly store: store.Store;
  readonly storeCount: () => tokenBucket.CallCounts;
  readonly members: members.Members;
  readonly feed: intentFeed.IntentFeed;
  readonly verify: ReturnType<typeof keys.createVerifier>;
  readonly traffic: control.Traffic;
  readonly peer: (m: hosts.Member) => control.Peer;
}

/** Interval between closings of idle connections while a server shuts down, in ms. */
const CLOSE_POLL_MS = 50;
const EPOCH_BYTES = 6;
const MICROS_PER_MS = 1000;

/** A random identifier of a daemon process, new at every start. */
export function newEpoch(): string {
  return crypto.randomBytes(EPOCH_BYTES).toString("hex");
}

/** Creates the components; sends nothing yet. */
export function assemble(cfg: Config, clk: clock.Clock, random: () => number): Parts {
  const logOf = log.logs(cfg.name, cfg.logLevel, cfg.logFormat);
  const mets = statsdMetrics.open(cfg.name, cfg.statsdAddress);
  const meter = tokenBucket.createCallBudget(clk, cfg.storeCallsPerS, cfg.storeUrl);
  const st = etcd.open({ url: cfg.storeUrl, timeoutMs: cfg.storeTimeoutMs, spend: meter.spend });
  const hostSource = hosts.endpointSlices(cfg.hostsUrl, cfg.controlTimeoutMs);
  const mems = new members.Members(hostSource, logOf("members"));
  const traffic: control.Traffic = { bytes: 0 };
  const peer = peers(cfg, clk, traffic);
  const fd = new intentFeed.IntentFeed(
    {
      name: cfg.name,
      failureDomain: cfg.failureDomain,
      watchers: cfg.watchers,
      fanout: cfg.fanout,
      syncIntervalMs: cfg.syncEveryMs,
      headCheckMs: cfg.storeCheckMs,
      retryMs: cfg.storeCheckMs / 2,
    },
    { clock: clk, log: logOf("feed"), metrics: mets, store: st, members: mems, peer, random },
  );
  return {
    cfg,
    epoch: newEpoch(),
    clock: clk,
    random,
    logOf,
    metrics: mets,
    store: st,
    storeCount: meter.count,
    members: mems,
    feed: fd,
    verify: keys.createVerifier(cfg.clusterKeys, clk),
    traffic,
    peer,
  };
}

/** A function that returns the client of a peer, cached by name and address. */
function peers(cfg: Config, clk: clock.Clock, traffic: control.Traffic) {
  const byAddress = new Map<string, control.Peer>();
  return (m: hosts.Member): control.Peer => {
    const key = `${m.name}@${m.address}`;
    let client = byAddress.get(key);
    if (!client) {
      const { clusterKeys, controlTimeoutMs } = cfg;
      client = controls.connect(m.address, m.name, clusterKeys, clk, controlTimeoutMs, traffic);
      byAddress.set(key, client);
    }
    return client;
  };
}

/** The fields of `status` that all daemons report. */
export function commonStatus(p: Parts) {
  const cpu = process.cpuUsage();
  return {
    name: p.cfg.name,
    failureDomain: p.cfg.failureDomain,
    revision: p.feed.intent().revision,
    storeCalls: p.storeCount().spent,
    storeRefused: p.storeCount().refused,
    watching: p.feed.source() === "fromStore",
    controlBytes: p.traffic.bytes,
    rssBytes: process.memoryUsage.rss(),
    cpuMs: Math.round((cpu.user + cpu.system) / MICROS_PER_MS),
    histograms: p.metrics.summaries(),
  };
}

/** Closes a server gracefully: idle connections at once, the others when their responses have ended. */
export async function closeServer(server: http.Server, clk: clock.Clock): Promise<void> {
  const closed = new AbortController();
  server.close(() => {
    closed.abort();
  });
  // A connection becomes idle when its response ends, which may be after server.close().
  while (!closed.signal.aborted) {
    server.closeIdleConnections();
    await clock.sleep(clk, CLOSE_POLL_MS, closed.signal);
  }
}
