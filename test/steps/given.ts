/** Steps that start a site with the given settings. */
import * as site from "../../bench/site.js";
import * as world from "./world.js";

async function start(w: world.World, plan: site.Plan): Promise<void> {
  w.startedSite = await site.Site.start(plan);
}

world.step("a site with {int} engine(s)", (w, engines: number) => start(w, { engines }));

world.step(
  "a site with {int} engine(s) of {int} slot(s), and steps of {int} ms",
  (w, engines: number, slots: number, stepMs: number) => start(w, { engines, slots, stepMs }),
);

world.step(
  "a site with {int} engine(s) of {int} slot(s) that ignore(s) fencing numbers, and steps of {int} ms",
  (w, engines: number, slots: number, stepMs: number) =>
    start(w, { engines, slots, stepMs, fencing: "ignored" }),
);

world.step(
  "a site with {int} engine(s) of {int} slot(s) that honour(s) fencing numbers, and steps of {int} ms",
  (w, engines: number, slots: number, stepMs: number) =>
    start(w, { engines, slots, stepMs, fencing: "honoured" }),
);

world.step(
  "a site with {int} engine(s) and loads of {int} ms",
  (w, engines: number, loadMs: number) => start(w, { engines, loadMs }),
);

world.step(
  "a site with {int} entry hosts, {int} engine(s) and a plain service",
  (w, entries: number, engines: number) => start(w, { engines, entries, service: true }),
);

world.step(
  "a site with {int} entry hosts and {int} engines",
  (w, entries: number, engines: number) => start(w, { engines, entries }),
);

world.step(
  "a site with {int} engine(s) and a queue of {int}",
  (w, engines: number, queue: number) =>
    start(w, { engines, seats: 1, stepMs: 10, settings: { queue: String(queue) } }),
);

world.step(
  "a site with {int} engine(s) that ask each other every {int} s",
  (w, engines: number, s: number) =>
    start(w, { engines, settings: { syncEveryMs: String(s * 1000) } }),
);

world.step(
  "a site with {int} engine(s) of {int} slot(s) that is looked at every {int} ms, and steps of {int} ms",
  (w, engines: number, slots: number, everyMs: number, stepMs: number) =>
    start(w, { engines, slots, stepMs, settings: { engineEveryMs: String(everyMs) } }),
);
