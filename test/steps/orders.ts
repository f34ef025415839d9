/** Steps on which daemon may send orders to an engine, and on attempts that arrive late. */
import * as chai from "chai";
import * as undici from "undici";
import * as clock from "../../src/host/clock.js";
import * as log from "../../src/host/log.js";
import * as keys from "../../src/link/keys.js";
import * as wire from "../../src/link/wire.js";
import * as lease from "../../src/store/lease.js";
import * as vllm from "../../src/endpoint/vllm.js";
import * as outcome from "../../src/request/outcome.js";
import type * as endpoint from "../../src/endpoint/daemon.js";
import * as site from "../../bench/site.js";
import * as world from "./world.js";

const { expect } = chai;

function createAttempt(id: string, epoch: string, model: string): wire.Attempt {
  const [adapter = "", version = ""] = model.split("@");
  return {
    id,
    epoch,
    caller: "wattle",
    class: "captions",
    worth: 1,
    queue: 100,
    budgetMs: 5000,
    revision: 1,
    repeatable: true,
    work: { kind: "model", adapter, version, path: "/v1/completions", stream: false },
  };
}

/** Sends an attempt to an endpoint daemon as an entry daemon does; returns the failure in its answer, if any. */
async function send(
  daemon: endpoint.Running,
  a: wire.Attempt,
): Promise<outcome.Failure | undefined> {
  const header = wire.encode(a);
  const audience = daemon.parts.cfg.name;
  const signed = { method: "POST", path: wire.RUN_PATH, audience, covers: [header] };
  const res = await undici.request(`http://${daemon.linkAddress}${wire.RUN_PATH}`, {
    method: "POST",
    headers: {
      authorization: keys.sign([site.KEY], signed, clock.system),
      [wire.HEADER.attempt]: header,
    },
    body: JSON.stringify({ model: "any", prompt: "p", max_tokens: 4 }),
  });
  return outcome.fromBody(await res.body.text());
}

world.step("an entry daemon gives up an attempt that arrives later", async (w) => {
  const to = w.site.endpoints[0];
  if (!to) throw new Error("there is no endpoint daemon");
  const peer = w.site.operator().peer({
    name: to.parts.cfg.name,
    role: "endpoint",
    failureDomain: "",
    address: to.linkAddress,
    leaving: false,
  });
  const fate = await peer.cancel.mutate({ attempt: "late-1", epoch: to.parts.epoch });
  expect(fate).eql({ kind: "not_run" });
  w.notes.set("refusals", [await send(to, createAttempt("late-1", to.parts.epoch, "captions@1"))]);
});

world.step("the attempt is refused as not_run", (w) => {
  const [refusal] = w.notes.get("refusals") as readonly (outcome.Failure | undefined)[];
  expect(refusal).include({ outcome: "not_run", code: "duplicate" });
});

world.step(
  "a second endpoint daemon is started on engine {int} by mistake",
  async (w, n: number) => {
    w.notes.set("second", await w.site.addEndpoint(n - 1, true));
  },
);

world.step("it is asked for {word} and {word}", async (w, first: string, second: string) => {
  const to = w.notes.get("second") as endpoint.Running;
  await site.until(() => to.gate() !== undefined);
  // Time for several polls of the engine, after which a daemon that held its lease would serve.
  await new Promise((r) => setTimeout(r, 300));
  const asked = [first, second].map((m, i) =>
    send(to, createAttempt(`second-${i}`, to.parts.epoch, m)),
  );
  w.notes.set("refusals", await Promise.all(asked));
  to.kill();
});

world.step("it refuses both as not_run", (w) => {
  const refusals = w.notes.get("refusals") as readonly (outcome.Failure | undefined)[];
  expect(refusals.map((r) => r?.outcome)).eql(["not_run", "not_run"]);
});

const TTL_MS = 1000;

function createHolder(w: world.World, epoch: string): lease.LeaseHolder {
  return new lease.LeaseHolder(
    { endpoint: "engine-by-hand", epoch, ttlMs: TTL_MS },
    { clock: clock.system, log: log.silent, store: w.site.operator().store },
  );
}

world.step("the holder of engine {int} pauses for longer than its lease", async (w, n: number) => {
  const first = createHolder(w, "first");
  await first.renewOrAcquire();
  w.notes.set("first", first);
  w.notes.set("engine", w.site.engines[n - 1]?.url);
  await site.until(() => first.state() === "lapsed");
});

const openEngine = (w: world.World) =>
  vllm.open({
    url: String(w.notes.get("engine")),
    timeoutMs: 1000,
    orderTimeoutMs: 1000,
    connections: 1,
  });

world.step("another holder takes the engine", async (w) => {
  const second = createHolder(w, "second");
  while (second.state() !== "held") await second.renewOrAcquire();
  await openEngine(w).load("notes@1~second.1", "none", second.fencingNumber());
});

world.step("an order of the first holder is refused by the engine", async (w) => {
  const first = w.notes.get("first") as lease.LeaseHolder;
  const refusal = await openEngine(w)
    .unload("notes@1~second.1", first.fencingNumber())
    .catch((err: unknown) => err);
  expect(refusal).instanceOf(outcome.StepError);
  expect((refusal as outcome.StepError).failure.code).equal("stale_epoch");
});
