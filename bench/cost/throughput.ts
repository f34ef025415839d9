/**
 * An entry daemon against a bare pass-through, in one run: requests a second, added latency, and CPU
 * time for one request.
 * @module
 */
import * as fs from "node:fs/promises";
import * as undici from "undici";
import * as clock from "../../src/host/clock.js";
import * as change from "../../src/operator/change.js";
import * as control from "../../src/link/control.js";
import * as etcd from "../../src/store/etcd.js";
import * as hosts from "../../src/store/hosts.js";
import * as hostLists from "../../src/standin/hosts.js";
import * as stores from "../../src/standin/store.js";
import * as site from "../site.js";
import * as proc from "./proc.js";

const TICKS_PER_S = 100;

/** CPU seconds a process has used, from /proc. */
async function cpuOf(pid: number): Promise<number> {
  const text = await fs.readFile(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

/** One stretch of load on one front. */
export interface Stretch {
  readonly perS: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly cpuUs: number;
}

async function load(
  front: proc.Proc,
  connections: number,
  streamed: boolean,
  ms: number,
): Promise<Stretch> {
  const client = new undici.Agent({ connections });
  const body = JSON.stringify({ model: "captions@1", prompt: "p".repeat(200), stream: streamed });
  const times: number[] = [];
  const cpu = await cpuOf(front.pid);
  const began = performance.now();
  const worker = async (): Promise<void> => {
    while (performance.now() - began < ms) {
      const at = performance.now();
      const res = await client.request({
        origin: `http://${front.address}`,
        path: "/v1/completions",
        method: "POST",
        headers: { authorization: `Bearer ${site.callerKey("wattle")}` },
        body,
      });
      await res.body.dump({ limit: 1e9 });
      if (res.statusCode !== 200) throw new Error(`status ${res.statusCode}`);
      times.push(performance.now() - at);
    }
  };
  await Promise.all(Array.from({ length: connections }, worker));
  const seconds = (performance.now() - began) / 1000;
  const used = (await cpuOf(front.pid)) - cpu;
  await client.close();
  times.sort((a, b) => a - b);
  return {
    perS: times.length / seconds,
    p50Ms: times[Math.floor(times.length * 0.5)] ?? NaN,
    p95Ms: times[Math.floor(times.length * 0.95)] ?? NaN,
    cpuUs: (used * 1e6) / times.length,
  };
}

/** Both fronts under one kind of load, in turns. */
export interface Pair {
  readonly connections: number;
  readonly streamed: boolean;
  readonly entry: Stretch;
  readonly bare: Stretch;
}

const STRETCH_MS = 1500;
const CONNECTIONS = [1, 64, 1024];

/** Starts everything, runs each kind of load on both fronts, and ends it. */
export async function run(): Promise<readonly Pair[]> {
  const store = await stores.start();
  const list = await hostLists.start();
  const upstream = await proc.start("./upstream.js", []);
  const deps: change.Deps = {
    clock: clock.system,
    store: etcd.open({ url: store.url, timeoutMs: 1000, spend: () => undefined }),
    hosts: hosts.endpointSlices(list.url, 1000),
    peer: (m) => control.connect(m.address, m.name, [site.KEY], clock.system, 1000, { bytes: 0 }),
    by: "bench",
    waitMs: 0,
    lookMs: 10,
  };
  const puts = [
    site.domain("a"),
    site.host("host-0", "a"),
    site.engineAt("engine-0", "host-0"),
    site.adapter("captions", "http://127.0.0.1:1"),
    site.caller("wattle"),
    site.grant("all"),
    site.placement("anywhere"),
  ];
  await change.apply({ puts, deletes: [] }, deps);
  list.hosts.put({
    name: "engine-0",
    role: "endpoint",
    failureDomain: "a",
    address: upstream.address,
    leaving: false,
  });
  const entry = await proc.entry(store.url, list.url, { connections: "2048", hostsEveryMs: "100" });
  const bare = await proc.start("./front.js", [
    "bare",
    JSON.stringify({ upstream: upstream.address }),
  ]);
  await new Promise((r) => setTimeout(r, 2500));
  const out: Pair[] = [];
  for (const streamed of [false, true]) {
    for (const connections of CONNECTIONS) {
      await load(entry, connections, streamed, STRETCH_MS / 3);
      await load(bare, connections, streamed, STRETCH_MS / 3);
      out.push({
        connections,
        streamed,
        entry: await load(entry, connections, streamed, STRETCH_MS),
        bare: await load(bare, connections, streamed, STRETCH_MS),
      });
    }
  }
  for (const p of [entry, bare, upstream]) p.end();
  await Promise.all([store.close(), list.close()]);
  return out;
}
