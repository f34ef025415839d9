import * as stream from "node:stream";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import type * as engine from "../src/endpoint/engine.js";
import * as gate from "../src/endpoint/gate.js";
import * as clock from "../src/host/clock.js";
import type * as log from "../src/host/log.js";
import type * as statsdMetrics from "../src/host/statsd-metrics.js";
import type * as wire from "../src/link/wire.js";
import * as outcome from "../src/request/outcome.js";

const { expect } = chai;

const SILENT = new Proxy({}, { get: () => () => undefined });
const SETTLE_MS = 30;

/** An attempt for the adapter `a`. */
const attempt = (id: string): wire.Attempt => ({
  id,
  epoch: "e1",
  caller: "wattle",
  class: "c",
  worth: 1,
  queue: 10,
  budgetMs: 5000,
  revision: 1,
  repeatable: true,
  work: { kind: "model", adapter: "a", version: "1", path: "/v1/completions", stream: false },
});

/** A gate with one seat before an engine that loads at once; `lose` gives its lease to another daemon. */
async function open(unloading?: () => Promise<void>, hasVersions = true) {
  const ordered: string[] = [];
  let isLost = false;
  const backend: engine.Engine = {
    health: () => Promise.resolve({ startedAt: 1, running: 0, waiting: 0 }),
    models: () => Promise.resolve([]),
    load: (name) => {
      ordered.push(`load ${name.slice(0, 3)}`);
      return Promise.resolve();
    },
    unload: (name) => {
      ordered.push(`unload ${name.slice(0, 3)}`);
      return unloading?.() ?? Promise.resolve();
    },
    run: () => Promise.resolve({ status: 200, contentType: "", body: stream.Readable.from([]) }),
  };
  const made = new gate.Gate(
    {
      name: "e",
      epoch: "e1",
      plan: {
        seats: 1,
        queue: 10,
        loads: 1,
        evict: { kind: "coldest" },
        order: "worth",
        ageMs: 1000,
      },
      slots: 1,
      halfLifeMs: 1000,
      pollIntervalMs: 100,
      countLagMs: 1000,
      maxCancelMs: 30_000,
      orderTimeoutMs: 1000,
      retryLoadMs: 1000,
      fencing: "ignored",
      initialLoadMs: 10,
      initialServiceMs: 10,
    },
    {
      clock: clock.system,
      log: SILENT as log.Log,
      metrics: SILENT as statsdMetrics.Metrics,
      engine: backend,
      turn: { ask: () => Promise.resolve({ kind: "go" }), end: () => undefined },
      engineLease: {
        fencingNumber: () => 1,
        hasHandedOver: () => false,
        isLost: () => isLost,
      },
      sourceOf: (target) => (hasVersions ? `store/${target}` : undefined),
      revision: () => 1,
    },
  );
  await made.look();
  return {
    gate: made,
    ordered,
    lose: (): void => {
      isLost = true;
    },
    /** Admits an attempt; resolves to its seat, or to the code with which it was refused. */
    admit: (a: wire.Attempt): Promise<gate.Seat | string> =>
      made.admit(a, new AbortController().signal).catch((err: unknown) => {
        if (!(err instanceof outcome.StepError)) throw err;
        return `${err.failure.outcome} ${err.failure.code}`;
      }),
  };
}

describe("an attempt for a version that its endpoint daemon does not have", () => {
  for (const [name, revision, expected] of [
    ["is told to come back where the daemon is behind", 2, "not_run not_ready"],
    ["is not found where the daemon is as new", 1, "not_run not_found"],
  ] as const) {
    it(name, async () => {
      const opened = await open(undefined, false);
      expect(await opened.admit({ ...attempt("new"), revision })).equal(expected);
      opened.gate.stop();
    });
  }
});

describe("an endpoint daemon whose engine another one holds by now", () => {
  it("dispatches no attempt that it had admitted before", async () => {
    const opened = await open();
    const first = await opened.admit(attempt("first"));
    const second = opened.admit(attempt("second"));
    opened.lose();
    if (typeof first !== "string") first.end();
    expect(await second).equal("not_run not_ready");
    opened.gate.stop();
  });

  it("lets no attempt wait for a load that it must not order", async () => {
    const opened = await open();
    const first = await opened.admit(attempt("first"));
    const other = { ...attempt("second"), work: { ...attempt("x").work, version: "2" } };
    const second = opened.admit(other);
    opened.lose();
    await opened.gate.look();
    expect(await second).equal("not_run not_ready");
    expect(first).not.a("string");
    expect(opened.ordered).deep.equal(["load a@1"]);
    opened.gate.stop();
  });

  it("loads nothing if it lost the engine during the eviction", async () => {
    const opened: Awaited<ReturnType<typeof open>> = await open(() => {
      opened.lose();
      return Promise.resolve();
    });
    const first = await opened.admit(attempt("first"));
    if (typeof first !== "string") first.end();
    const other = { ...attempt("second"), work: { ...attempt("x").work, version: "2" } };
    const second = opened.admit(other);
    await timers.setTimeout(SETTLE_MS);
    expect(opened.ordered).deep.equal(["load a@1", "unload a@1"]);
    expect(await second).equal("not_run not_ready");
    opened.gate.stop();
  });
});
