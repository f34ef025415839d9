/**
 * What control costs a daemon: signing, one control call, one change passed on.
 * @module
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as clock from "../../src/host/clock.js";
import * as control from "../../src/link/control.js";
import * as keys from "../../src/link/keys.js";
import type * as wire from "../../src/link/wire.js";
import * as site from "../site.js";
import * as decision from "./decision.js";

const RING: keys.ClusterKeys = [site.KEY];

/** Microseconds to sign and to check one request. */
export function signing(): decision.Cost {
  const verify = keys.createVerifier(RING, clock.system);
  const signed = { method: "POST", path: "/run", audience: "engine-a", covers: ["x".repeat(400)] };
  return decision.measure(3000, () => {
    verify(keys.sign(RING, signed, clock.system), signed, "p");
  });
}

const NEWS: wire.EndpointReport = {
  endpoint: "engine-a",
  epoch: "abcdefabcdef",
  seq: 1,
  state: "serving",
  running: 9,
  waiting: 2,
  seats: 16,
  loaded: Array.from({ length: 8 }, (_, i) => `adapter-${i * 1000}@1`),
  coming: ["adapter-17000@1"],
  serviceMs: 2000,
  loadMs: 400,
  revision: 17_000,
};

/** CPU microseconds of both sides together, and bytes counted by the callee, for one call. */
export interface CallCost {
  readonly cpuUs: number;
  readonly bytes: number;
}

const CALLS = 2000;

/** Measures control calls over loopback, both ends in this process. */
export async function calls(): Promise<{
  readonly news: CallCost;
  readonly sync: CallCost;
  readonly turn: CallCost;
  readonly push: CallCost;
}> {
  const traffic = { bytes: 0 };
  const handler: control.Handler = {
    endpointReport: () => NEWS,
    status: () => {
      throw new Error("not measured");
    },
    changesAfter: () => ({ kind: "changes", changes: [] }),
    receiveIntent: () => 1,
    cancel: () => ({ kind: "not_run" }),
    askTurn: () => ({ kind: "wait", askAgainMs: 100 }),
    endTurn: () => undefined,
    explain: () => [],
  };
  const serve = control.serve("engine-a", handler, keys.createVerifier(RING, clock.system), {
    bytes: 0,
  });
  const server = http.createServer((req, res) => void serve(req, res));
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const peer = control.connect(`127.0.0.1:${port}`, "engine-a", RING, clock.system, 5000, traffic);
  const change = {
    revision: 2,
    previous: "x",
    id: "y",
    at: "2026-12-02T00:00:00Z",
    by: "operator",
    puts: [site.adapter("adapter-1", "http://127.0.0.1:1", ["1", "2"])],
    deletes: [],
  };
  const cost = async (call: () => Promise<unknown>): Promise<CallCost> => {
    for (let i = 0; i < CALLS / 4; i++) await call();
    const cpu = process.cpuUsage();
    traffic.bytes = 0;
    for (let i = 0; i < CALLS; i++) await call();
    const used = process.cpuUsage(cpu);
    return { cpuUs: (used.user + used.system) / CALLS, bytes: traffic.bytes / CALLS };
  };
  const out = {
    news: await cost(() => peer.news.query()),
    sync: await cost(() => peer.changesAfter.query({ revision: 17_000 })),
    turn: await cost(() => peer.askTurn.mutate({ endpoint: "engine-b", target: "a@1", score: 1 })),
    push: await cost(() => peer.learn.mutate({ kind: "changes", changes: [change] })),
  };
  server.closeAllConnections();
  server.close();
  return out;
}
