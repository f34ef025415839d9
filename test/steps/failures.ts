/** Steps that inject failures, or stop and kill daemons. */
import * as chai from "chai";
import type * as endpoint from "../../src/endpoint/daemon.js";
import * as site from "../../bench/site.js";
import * as world from "./world.js";

const { expect } = chai;

function endpointAt(w: world.World, n: number): endpoint.Running {
  const e = w.site.endpoints[n - 1];
  if (!e) throw new Error(`there is no endpoint daemon ${n}`);
  return e;
}

function engineAt(w: world.World, n: number) {
  const e = w.site.engines[n - 1]?.engine;
  if (!e) throw new Error(`there is no engine ${n}`);
  return e;
}

const pause = (ms: number): Promise<void> => new Promise((r) => setTimeout(r, ms));

/** The number, from 1, of an engine that is running a request. */
function busyEngineNumber(w: world.World): number {
  const index = w.site.endpoints.findIndex((e) => (e.gate()?.news().running ?? 0) > 0);
  if (index < 0) throw new Error("no engine runs anything");
  return index + 1;
}

/** Waits until a request is waiting at an endpoint daemon, and returns that daemon's number, from 1. */
async function waitingEndpointNumber(w: world.World): Promise<number> {
  const find = (): number => w.site.endpoints.findIndex((e) => (e.gate()?.news().waiting ?? 0) > 0);
  await site.until(() => find() >= 0);
  return find() + 1;
}

// The store.
world.step("the store is down", (w) => {
  w.site.store.store.faults.down = true;
  w.site.store.store.closeWatches();
});
world.step("the store is back", (w) => {
  w.site.store.store.faults.down = false;
});
world.step("the store takes {int} ms for each call", (w, ms: number) => {
  w.site.store.store.faults.delayMs = ms;
});
world.step("the store loses the reply to the next {int} write(s)", (w, n: number) => {
  w.site.store.store.faults.loseReplies = n;
});
world.step("the store is backed up", (w) => {
  w.notes.set("backup", w.site.store.store.backup());
});
world.step("the store is restored from the backup", (w) => {
  w.site.store.store.restore(w.notes.get("backup") as ReturnType<typeof w.site.store.store.backup>);
});

// Engines.
world.step("every engine answers the next request for another model", (w) => {
  for (const e of w.site.engines) e.engine.faults.wrongModels = 1;
});
world.step("engine {int} answers the next request for another model", (w, n: number) => {
  engineAt(w, n).faults.wrongModels = 1;
});
world.step("every engine answers the next request with another request's id", (w) => {
  for (const e of w.site.engines) e.engine.faults.wrongIds = 1;
});
world.step("the engine that runs it breaks its answer off half-way", (w) => {
  for (const e of w.site.engines) e.engine.faults.breakAnswers = 0;
  engineAt(w, busyEngineNumber(w)).restart();
});
world.step("every engine breaks its next answer off half-way", (w) => {
  for (const e of w.site.engines) e.engine.faults.breakAnswers = 1;
});
world.step("every engine restarts cold", (w) => {
  for (const e of w.site.engines) e.engine.restart();
});
world.step("the engine that runs it restarts cold", (w) => {
  engineAt(w, busyEngineNumber(w)).restart();
});
world.step("every engine refuses loads", (w) => {
  for (const e of w.site.engines) e.engine.faults.refuseLoads = true;
});
world.step("engine {int} refuses loads", (w, n: number) => {
  engineAt(w, n).faults.refuseLoads = true;
});
world.step("every engine loses the reply to its next order", (w) => {
  for (const e of w.site.engines) e.engine.faults.loseReplies = 1;
});
world.step(
  "engine {int} loses the reply to its next order, which takes effect {int} ms late",
  (w, n: number, ms: number) => {
    engineAt(w, n).faults.loseReplies = 1;
    engineAt(w, n).faults.orderDelayMs = ms;
  },
);
world.step("engine {int} takes {int} ms to begin its next order", (w, n: number, ms: number) => {
  engineAt(w, n).faults.orderDelayMs = ms;
});
world.step("engine {int}'s counts lag by {int} ms", (w, n: number, ms: number) => {
  engineAt(w, n).faults.metricsLagMs = ms;
});
world.step("engine {int} is unloaded by hand", (w, n: number) => {
  engineAt(w, n).unloadAll();
});
world.step("the weight store refuses loads", (w) => {
  w.site.weights.weights.faults.refuseLoads = true;
});
world.step("the weight store is back", (w) => {
  w.site.weights.weights.faults.refuseLoads = false;
});
world.step("the weight store is {int} times slower", (w, n: number) => {
  w.site.weights.weights.faults.slowdownFactor = n;
});
world.step("the service loses the reply to its next call", (w) => {
  if (w.site.services) w.site.services.service.loseReplies = 1;
});

// Daemons and links.
world.step("the endpoint daemon that runs it is killed", (w) => {
  endpointAt(w, busyEngineNumber(w)).kill();
});
world.step("the endpoint daemon where it waits is killed", async (w) => {
  endpointAt(w, await waitingEndpointNumber(w)).kill();
});
world.step("it waits at an endpoint daemon", async (w) => {
  await waitingEndpointNumber(w);
});
world.step("entry host {int} is killed", (w, n: number) => {
  w.site.entries[n - 1]?.kill();
});
world.step("endpoint daemon {int} is killed", (w, n: number) => {
  endpointAt(w, n).kill();
});
world.step("endpoint daemon {int} is started again", async (w, n: number) => {
  await w.site.addEndpoint(n - 1);
  await w.site.settle();
});
world.step("endpoint daemon {int} is stopped gracefully", async (w, n: number) => {
  await endpointAt(w, n).stop();
});
world.step("endpoint daemon {int} begins to stop", (w, n: number) => {
  w.notes.set("stopping", endpointAt(w, n).stop());
});
world.step("the endpoint daemon that runs it begins to stop", (w) => {
  w.notes.set("stopping", endpointAt(w, busyEngineNumber(w)).stop());
});
world.step("entry host {int} begins to stop", (w, n: number) => {
  w.notes.set("stopping", w.site.entries[n - 1]?.stop());
});
world.step("it stops", async (w) => {
  await (w.notes.get("stopping") as Promise<void>);
});
world.step("the list of hosts says that endpoint daemon {int} is leaving", (w, n: number) => {
  w.site.listEndpoint(`engine-${n - 1}`, endpointAt(w, n), w.site.domainOf(n - 1), true);
});
world.step("the list of hosts is down", (w) => {
  w.site.list.hosts.down = true;
});
world.step("the list of hosts lags by {int} ms", (w, ms: number) => {
  w.site.list.hosts.lagMs = ms;
});
world.step("{int} ms pass", (_w, ms: number) => pause(ms));

/** Sends `times` concurrent requests for each adapter. */
function askAll(w: world.World, times: number): Promise<readonly site.Answer[]> {
  const models = Array.from({ length: times }, () => site.ADAPTERS).flat();
  return Promise.all(models.map((m) => w.site.ask(m)));
}

const runCount = (w: world.World, n: number): number =>
  engineAt(w, n).journal.filter((e) => e.kind === "run").length;

world.step("endpoint daemon {int} has had work", async (w, n: number) => {
  await askAll(w, 2);
  expect(runCount(w, n)).above(0);
});

world.step("endpoint daemon {int} gets no work from now on", async (w, n: number) => {
  const before = runCount(w, n);
  const answers = await askAll(w, 4);
  expect(answers.map((a) => a.status)).eql(answers.map(() => 200));
  expect(runCount(w, n)).equal(before);
});

world.step("every engine is out", (w) => {
  for (const e of w.site.engines) e.engine.down = true;
});

world.step("the endpoint daemon where they wait begins to stop", async (w) => {
  w.notes.set("stopping", endpointAt(w, await waitingEndpointNumber(w)).stop());
});

world.step("engine {int} goes on for {int} ms after a cancel", (w, n: number, ms: number) => {
  engineAt(w, n).faults.cancelDelayMs = ms;
});

world.step("engine {int}'s requests take {int} ms to arrive", (w, n: number, ms: number) => {
  engineAt(w, n).faults.arrivalDelayMs = ms;
});
