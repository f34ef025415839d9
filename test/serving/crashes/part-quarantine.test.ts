import * as chai from "chai";
import * as time from "../../../bench/measure/time.js";
import * as structuredLog from "../../../src/host/structured-log.js";
import type * as callerRequest from "../../../src/serving/caller-request.js";
import * as catalog from "../../../src/serving/catalog.js";
import * as partQuarantine from "../../../src/serving/crashes/part-quarantine.js";
import * as quarantineWriter from "../../../src/serving/crashes/quarantine-writer.js";
import * as records from "../../../src/serving/crashes/records.js";
import * as quarantine from "../../../src/serving/quarantine.js";

const { expect } = chai;

/** Lets what waits for the store go on. */
const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Two entry hosts that share all news, and a store. */
function site() {
  const clk = new time.Time();
  let isLinked = true;
  const pass = async (ms: number): Promise<void> => {
    const until = clk.mono() + ms;
    clk.after(ms, () => undefined);
    await clk.runUntil(until);
  };
  let known = records.EMPTY;
  const stored = new Map<string, string>();
  let quarantined: ReadonlyMap<string, string> = new Map();
  const readStore = (): void => {
    const ids = [...stored].map(([key, text]) => [quarantine.identityOf(key), text] as const);
    quarantined = new Map(ids.flatMap(([id, text]) => (id === undefined ? [] : [[id, text]])));
  };
  const tell = (n: records.News): void => {
    known = records.apply(known, n, clk.mono());
  };
  const deps: partQuarantine.Deps = {
    clock: clk,
    log: structuredLog.silent,
    catalog: () => ({ ...catalog.EMPTY, quarantined }),
    known: () => known,
    observed: () => known,
    publish: (_key, n) => {
      tell(n);
    },
    claim: (key, _ttlMs, text) => {
      const isNew = !stored.has(key);
      if (isNew) stored.set(key, text);
      readStore();
      return Promise.resolve(isNew);
    },
    remove: (key) => {
      stored.delete(key);
      readStore();
      return Promise.resolve();
    },
    hearsAll: () => isLinked,
    hostCount: () => 2,
    random: () => 0,
  };
  const create = (): partQuarantine.PartQuarantine =>
    new partQuarantine.PartQuarantine(deps, new quarantineWriter.QuarantineWriter(deps));
  const crash = (worker: string, parts: readonly string[]): void => {
    const identity = worker.padStart(22, "x");
    const measured = { underWayMs: 100, answeringMs: 0, peers: 13 };
    tell({ kind: "ended", identity, worker, ...measured, parts, ageMs: 0 });
  };
  /** Puts a part into quarantine as an operator does. */
  const mark = (part: string): void => {
    const text = quarantine.encode({ workers: [], parts: [part], at: clk.now() });
    stored.set(quarantine.keyOf(part), text);
    readStore();
  };
  /** Lets the leases of all keys in the store expire. */
  const lapse = (): void => {
    stored.clear();
  };
  const setLinked = (to: boolean): void => {
    isLinked = to;
  };
  const forget = (): void => {
    known = records.EMPTY;
  };
  return {
    pass,
    stored,
    create,
    crash,
    mark,
    lapse,
    setLinked,
    forget,
    hosts: [create(), create()] as const,
  };
}

let count = 0;

/** A request with some parts, the last of which is its own. */
function request(...parts: readonly string[]): callerRequest.Meta {
  const id = `r${count++}`;
  const all = [...parts, id].map((part) => ({ id: part, tokens: 1 }));
  return { id, waitMs: 1000, promptTokens: 1, answerTokens: 1, parts: all };
}

/** Whether a host sends a request to a worker, if need be as the test of a quarantine. */
async function mayRun(
  h: partQuarantine.PartQuarantine,
  meta: callerRequest.Meta,
): Promise<boolean> {
  if (!h.withheld(meta)) return true;
  await h.pendingProbe(meta);
  return !h.withheld(meta);
}

describe("a quarantine of prompt parts", () => {
  it("withholds requests with the parts at all hosts, and no others", () => {
    const { hosts, crash } = site();
    for (const w of ["w1", "w2", "w3"]) crash(w, ["a", "f"]);
    for (const h of hosts) {
      expect(h.withheld(request("a", "f"))?.parts).deep.equal(["a", "f"]);
      expect(h.withheld(request("a", "b"))).equal(undefined);
      // The last part is the request's own, whatever its id.
      expect(h.withheld({ ...request("a"), parts: request("a").parts })).equal(undefined);
    }
  });

  it("is narrowed to the part that no request which ran to its end holds", () => {
    const { hosts, crash } = site();
    for (const w of ["w1", "w2", "w3"]) crash(w, ["a", "f"]);
    hosts[0].recordRun(request("a", "b"));
    expect(hosts[1].withheld(request("x", "f"))?.parts).deep.equal(["f"]);
  });

  it("is kept in the store once it has held for a while, for hosts that start anew", async () => {
    const { pass, hosts, crash, create, forget, stored } = site();
    for (const w of ["w1", "w2", "w3"]) crash(w, ["f"]);
    hosts[0].refresh();
    await pass(3000);
    expect(stored.size).equal(1);
    forget();
    expect(create().withheld(request("a", "f"))?.workers).deep.equal(["w1", "w2", "w3"]);
  });

  it("is not judged by a host that started and has not heard all relays yet, for 3 s at most", async () => {
    const { pass, create, crash, setLinked } = site();
    for (const w of ["w1", "w2", "w3"]) crash(w, ["a"]);
    setLinked(false);
    const [host, other] = [create(), create()];
    expect(host.withheld(request("a"))).equal(undefined);
    setLinked(true);
    expect(host.withheld(request("a"))).not.equal(undefined);
    setLinked(false);
    expect(other.withheld(request("a"))).equal(undefined);
    await pass(3000);
    expect(other.withheld(request("a"))).not.equal(undefined);
  });

  it("is put to the test by one request of all hosts, and ends once that ran to its end", async () => {
    const { pass, hosts, crash, stored } = site();
    for (const w of ["w1", "w2", "w3"]) crash(w, ["f"]);
    for (const h of hosts) expect(h.withheld(request("f"))).not.equal(undefined);
    await pass(59_000);
    for (const h of hosts) expect(h.withheld(request("f"))?.releaseMs).equal(1000);
    await pass(2000);
    const probes: callerRequest.Meta[] = [];
    for (let n = 0; n < 10; n++) {
      for (const h of hosts) {
        const req = request("f");
        if (await mayRun(h, req)) probes.push(req);
      }
    }
    expect(probes).length(1);
    const [probe] = probes;
    if (probe) hosts[0].recordRun(probe);
    await settle();
    for (const h of hosts) expect(h.withheld(request("f"))).equal(undefined);
    expect([...stored.keys()].filter((key) => key.startsWith(quarantine.PREFIX))).deep.equal([]);
  });

  it("waits longer for the next test after a request that crashed its worker", async () => {
    const { pass, hosts, crash } = site();
    for (const w of ["w1", "w2", "w3"]) crash(w, ["f"]);
    await pass(61_000);
    const probe = request("f");
    expect(await mayRun(hosts[0], probe)).equal(true);
    // It may be checked again before it is written to its connection, and then still is the probe.
    expect(hosts[0].withheld(probe)).equal(undefined);
    crash("w4", ["f"]);
    expect(hosts[0].withheld(probe)).not.equal(undefined);
    expect(hosts[0].withheld(request("f"))?.releaseMs).equal(240_000);
  });

  it("is tested by another host's request where the one that had the turn was not sent", async () => {
    const { pass, hosts, crash, lapse } = site();
    for (const w of ["w1", "w2", "w3"]) crash(w, ["f"]);
    await pass(61_000);
    expect(await mayRun(hosts[0], request("f"))).equal(true);
    await pass(61_000);
    lapse();
    expect(await mayRun(hosts[1], request("f"))).equal(true);
    expect(await mayRun(hosts[0], request("f"))).equal(false);
  });

  it("that an operator set is not put to the test", async () => {
    const { pass, create, mark } = site();
    mark("f");
    const host = create();
    await pass(300_000);
    for (let n = 0; n < 3; n++) {
      expect(host.withheld(request("f"))?.releaseMs).equal(300_000);
      await settle();
    }
  });
});
