/**
 * What every daemon is made of: settings, logs, metrics, the store within a budget, the list of
 * hosts, the configuration feed, and signed links to its peers.
 * @module
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as control from "../link/control.js";
import * as controls from "../link/control.js";
import * as keys from "../link/keys.js";
import * as budget from "../store/budget.js";
import * as etcd from "../store/etcd.js";
import * as hosts from "../store/hosts.js";
import type * as store from "../store/store.js";
import * as clock from "./clock.js";
import * as feed from "./feed.js";
import * as log from "./log.js";
import * as members from "./members.js";
import * as metrics from "./metrics.js";
import * as settings from "./settings.js";

/** Settings common to all daemons. */
export const SETTINGS = {
  name: settings.text("name", {
    help: "Name of this daemon; an endpoint daemon has that of its Endpoint object.",
  }),
  failureDomain: settings.text("failureDomain", { help: "Failure domain of this host." }),
  linkAddress: settings.address("linkAddress", {
    help: "Where other daemons reach this one; port 0 takes a free one.",
  }),
  storeUrl: settings.url("storeUrl", { help: "The configuration store's etcd v3 JSON gateway." }),
  hostsUrl: settings.url("hostsUrl", { help: "The platform's list of hosts." }),
  clusterKeys: settings.secrets("clusterKeys", keys.KEY_LENGTH, {
    help: "Keys that daemons know each other by; the first signs, all are taken.",
  }),
  statsdAddress: settings.optional("statsdAddress", {
    help: "StatsD server for metrics, as ip:port; without it figures show in `status` alone.",
  }),
  logLevel: settings.word("logLevel", ["debug", "info", "warn", "error"], {
    help: "Least urgent lines that are logged.",
    default: "info",
  }),
  logFormat: settings.word("logFormat", ["text", "json"], {
    help: "Form of the log's lines.",
    default: "text",
  }),
  storeTimeoutMs: settings.int("storeTimeoutMs", 1, {
    help: "Patience with one call to the store, in ms.",
    default: "1000",
  }),
  storeCallsPerS: settings.int("storeCallsPerS", 1, {
    help: "Budget of calls to the store, a second; standing watches count when they are opened.",
    default: "50",
  }),
  controlTimeoutMs: settings.int("controlTimeoutMs", 1, {
    help: "Patience with one control call to a peer, in ms.",
    default: "1000",
  }),
  hostsEveryMs: settings.int("hostsEveryMs", 10, {
    help: "Time between readings of the list of hosts, in ms.",
    default: "2000",
  }),
  syncEveryMs: settings.int("syncEveryMs", 10, {
    help: "Time between questions to a peer for newer intent, in ms.",
    default: "1000",
  }),
  storeCheckMs: settings.int("storeCheckMs", 10, {
    help: "Time between readings of the store's head by a daemon that watches it, in ms.",
    default: "2000",
  }),
  watchers: settings.int("watchers", 1, {
    help: "Daemons of one failure domain that watch the store.",
    default: "2",
  }),
  fanout: settings.int("fanout", 1, {
    help: "Peers that a daemon tells of a change it has just learned.",
    default: "3",
  }),
  drainMs: settings.int("drainMs", 0, {
    help: "Time a leaving daemon still accepts connections while others hear of it, in ms.",
    default: "1000",
  }),
} as const;

/** Checked values of the common settings. */
export type Config = settings.Values<typeof SETTINGS>;

/** The parts of one daemon. */
export interface Parts {
  readonly cfg: Config;
  readonly epoch: string;
  readonly clock: clock.Clock;
  readonly random: () => number;
  readonly logOf: (part: string) => log.Log;
  readonly metrics: metrics.Metrics;
  readonly store: store.Store;
  readonly storeCount: () => budget.Count;
  readonly members: members.Members;
  readonly feed: feed.Feed;
  readonly verify: ReturnType<typeof keys.verifier>;
  readonly traffic: control.Traffic;
  readonly peer: (m: hosts.Member) => control.Peer;
}

const CLOSE_LOOK_MS = 50;
const EPOCH_BYTES = 6;
const MICROS_PER_MS = 1000;

/** A name for one life of a daemon, unlike any other. */
export function newEpoch(): string {
  return crypto.randomBytes(EPOCH_BYTES).toString("hex");
}

/** Puts the parts together; nothing is sent yet. */
export function assemble(cfg: Config, clk: clock.Clock, random: () => number): Parts {
  const logOf = log.logs(cfg.name, cfg.logLevel, cfg.logFormat);
  const mets = metrics.open(cfg.name, cfg.statsdAddress);
  const meter = budget.meter(clk, cfg.storeCallsPerS, cfg.storeUrl);
  const st = etcd.open({ url: cfg.storeUrl, timeoutMs: cfg.storeTimeoutMs, spend: meter.spend });
  const list = hosts.endpointSlices(cfg.hostsUrl, cfg.controlTimeoutMs);
  const mems = new members.Members(list, logOf("members"));
  const traffic: control.Traffic = { bytes: 0 };
  const peer = peers(cfg, clk, traffic);
  const fd = new feed.Feed(
    {
      name: cfg.name,
      failureDomain: cfg.failureDomain,
      watchers: cfg.watchers,
      fanout: cfg.fanout,
      syncMs: cfg.syncEveryMs,
      checkMs: cfg.storeCheckMs,
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
    verify: keys.verifier(cfg.clusterKeys, clk),
    traffic,
    peer,
  };
}

/** One client for each peer at each address. */
function peers(cfg: Config, clk: clock.Clock, traffic: control.Traffic) {
  const byAddress = new Map<string, control.Peer>();
  return (m: hosts.Member): control.Peer => {
    const key = `${m.name}@${m.address}`;
    let known = byAddress.get(key);
    if (!known) {
      const { clusterKeys, controlTimeoutMs } = cfg;
      known = controls.connect(m.address, m.name, clusterKeys, clk, controlTimeoutMs, traffic);
      byAddress.set(key, known);
    }
    return known;
  };
}

/** The figures of `status` that all daemons have. */
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

/** Closes a server once its last answer is out; idle connections are closed at once. */
export async function close(server: http.Server, clk: clock.Clock): Promise<void> {
  const done = new AbortController();
  server.close(() => {
    done.abort();
  });
  // A connection falls idle when its answer ends, which may be after the close.
  while (!done.signal.aborted) {
    server.closeIdleConnections();
    await clock.sleep(clk, CLOSE_LOOK_MS, done.signal);
  }
}
