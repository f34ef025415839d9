/**
 * What one routing decision, one plan and one change of the intent cost, as the deployment grows.
 * @module
 */
import * as intents from "../../src/contract/intent.js";
import * as objects from "../../src/contract/objects.js";
import * as answer from "../../src/endpoint/answer.js";
import * as plan from "../../src/endpoint/plan.js";
import * as slot from "../../src/endpoint/slot.js";
import * as route from "../../src/entry/route.js";
import * as views from "../../src/entry/views.js";
import * as log from "../../src/host/log.js";
import * as members from "../../src/host/members.js";
import * as wire from "../../src/link/wire.js";
import * as time from "../measure/time.js";
import * as workload from "../measure/workload.js";
import * as site from "../site.js";

const DOMAINS = 8;
const SLOTS = 8;
const SEATS = 16;
const ROUTE: route.Options = {
  policy: "estimate",
  domainMs: 4,
  batchMs: 20,
  loadWeight: 1,
  rankMs: 50,
};

/** An intent of so many endpoints and adapters. */
export function intentOf(endpoints: number, adapters: number): intents.Intent {
  const puts = [
    ...Array.from({ length: DOMAINS }, (_, i) => site.domain(`domain-${i}`)),
    ...Array.from({ length: endpoints }, (_, i) => site.host(`host-${i}`, `domain-${i % DOMAINS}`)),
    ...Array.from({ length: endpoints }, (_, i) =>
      site.engineAt(`engine-${i}`, `host-${i}`, { slots: SLOTS, seats: SEATS }),
    ),
    ...Array.from({ length: adapters }, (_, i) =>
      site.adapter(`adapter-${i}`, "http://127.0.0.1:1", ["1"]),
    ),
    site.caller("wattle", "captions"),
    site.grant("all"),
    site.placement("anywhere"),
  ];
  const found = new Map(puts.map((o) => [objects.keyOf(o), o]));
  return { revision: 1, id: "cost", objects: found };
}

function newsOf(i: number, adapters: number, random: () => number): wire.EndpointReport {
  return {
    endpoint: `engine-${i}`,
    epoch: "e",
    seq: 1,
    state: "serving",
    running: Math.floor(random() * SEATS),
    waiting: 0,
    seats: SEATS,
    loaded: Array.from(
      { length: SLOTS },
      () => `adapter-${Math.floor(random() ** 4 * adapters)}@1`,
    ),
    coming: [],
    serviceMs: 2000,
    loadMs: 400,
    revision: 1,
  };
}

async function viewsOf(endpoints: number, adapters: number): Promise<views.EndpointViews> {
  const listed = Array.from({ length: endpoints }, (_, i) => ({
    name: `engine-${i}`,
    role: "endpoint" as const,
    failureDomain: `domain-${i % DOMAINS}`,
    address: "0.0.0.0:0",
    leaving: false,
  }));
  const mems = new members.Members({ list: () => Promise.resolve(listed) }, log.silent);
  const known = new views.EndpointViews(
    {
      maxPolled: 16,
      pollAfterMs: 1000,
      maxMisses: 3,
      candidates: 6,
      maxHolders: 8,
      circuit: { failures: 3, openMs: 1, openMaxMs: 1 },
    },
    {
      clock: new time.Time(),
      log: log.silent,
      members: mems,
      peer: () => {
        throw new Error("no peers here");
      },
    },
  );
  await mems.refresh();
  const random = workload.randomOf(7);
  for (let i = 0; i < endpoints; i++) known.receive(newsOf(i, adapters, random));
  return known;
}

/** Microseconds and bytes allocated, each for one call. */
export interface Cost {
  readonly us: number;
  readonly bytes: number;
}

const WARM = 2000;
const RUNS = 5;

/** Median cost of one call of `run` over several stretches; wants `--expose-gc`. */
export function measure(times: number, run: (i: number) => void): Cost {
  for (let i = 0; i < WARM; i++) run(i);
  const us: number[] = [];
  const bytes: number[] = [];
  for (let r = 0; r < RUNS; r++) {
    globalThis.gc?.();
    const heap = process.memoryUsage().heapUsed;
    const began = performance.now();
    for (let i = 0; i < times; i++) run(i);
    us.push(((performance.now() - began) * 1000) / times);
    bytes.push((process.memoryUsage().heapUsed - heap) / times);
  }
  const mid = (v: readonly number[]): number => [...v].sort((a, b) => a - b)[RUNS >> 1] ?? NaN;
  return { us: mid(us), bytes: mid(bytes) };
}

/** One routing decision: from the name in the request to the endpoint chosen. */
export async function routing(endpoints: number, adapters: number): Promise<Cost> {
  const now = intentOf(endpoints, adapters);
  const known = await viewsOf(endpoints, adapters);
  const random = workload.randomOf(3);
  const names = Array.from(
    { length: 4096 },
    () => `adapter-${Math.floor(random() ** 4 * adapters)}`,
  );
  const none = new Set<string>();
  return measure(5000, (i) => {
    const target = intents.resolve(now, names[i % names.length] ?? "");
    if (!target) throw new Error("no such adapter");
    const key = `${target.adapter.metadata.name}@${target.version}`;
    const found = known.candidates(now, target.adapter, key, none);
    route.choose(found, key, "domain-0", ROUTE, random);
  });
}

/** One attempt through the plan of an endpoint whose queue holds `waiting` others. */
export function planning(waiting: number): Cost {
  const opts: plan.Options = {
    seats: SEATS,
    queue: 512,
    loads: 1,
    evict: { kind: "coldest" },
    order: "worth",
    ageMs: 1000,
  };
  let s = plan.idle(opts, SLOTS, 300_000);
  for (let i = 0; i < SLOTS; i++) {
    const slots = slot.begin(s.slots, `a${i}~1`, `a${i}`, 0);
    s = { ...s, slots: slot.move(slots, `a${i}~1`, { type: "loaded" }, 0) };
  }
  const arrival = (id: string, target: string): plan.Waiting => ({
    id,
    target,
    caller: "wattle",
    worth: 1,
    arrivedAt: 0,
    dueAt: 1e9,
    needsAdapter: true,
  });
  for (let i = 0; i < waiting; i++) s = plan.arrive(s, arrival(`w${i}`, `cold${i % 32}`));
  return measure(2000, (i) => {
    const id = `r${i}`;
    const target = `a${i % SLOTS}`;
    const came = plan.arrive(s, arrival(id, target));
    plan.next(came, 1);
    const runs = plan.dispatch(came, id, `${target}~1`, 1);
    plan.end(runs, id);
  });
}

/** Megabytes of an intent, and milliseconds to put one change in force and answer a request by it. */
export function change(adapters: number): { readonly mb: number; readonly ms: number } {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const base = intentOf(600, adapters);
  intents.list(base, "Adapter");
  globalThis.gc?.();
  const mb = (process.memoryUsage().heapUsed - before) / 2 ** 20;
  const times: number[] = [];
  for (let i = 0; i < RUNS; i++) {
    const began = performance.now();
    const next = intents.step(base, {
      revision: 2,
      previous: "cost",
      id: "x",
      at: "",
      by: "",
      puts: [site.adapter("adapter-1", "http://127.0.0.1:1", ["1", "2"])],
      deletes: [],
    });
    const target = intents.resolve(next, "adapter-1");
    if (target)
      for (const p of intents.placementsOf(next, target.adapter))
        intents.endpointsOf(next, p, target.adapter);
    times.push(performance.now() - began);
  }
  return { mb, ms: times.sort((a, b) => a - b)[RUNS >> 1] ?? NaN };
}

/** The check of one event of a streamed answer. */
export function checking(): Cost {
  const choices = [{ index: 0, text: " word", logprobs: null, finish_reason: null }];
  const head = { id: "cmpl-attempt-1", object: "text_completion", created: 1_796_200_000 };
  const event = JSON.stringify({ ...head, model: "a@1~x.1", choices });
  const expected = { name: "a@1~x.1", id: "attempt-1", target: "a@1", endpoint: "e" };
  return measure(20_000, () => {
    answer.validate(event, expected);
  });
}

/** Bytes of one endpoint's news on the wire, and the cost to write and read it. */
export function news(): Cost & { readonly wire: number } {
  const one = newsOf(1, 28_000, workload.randomOf(1));
  const cost = measure(5000, () => {
    wire.decode(wire.endpointReport, wire.encode(one));
  });
  return { ...cost, wire: wire.encode(one).length };
}
