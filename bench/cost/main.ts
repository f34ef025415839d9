/**
 * `npm run cost`: the slopes that docs/CAPACITY.md is worked out from.
 * @module
 */
import * as command from "../../src/cli/command.js";
import * as decision from "./decision.js";
import * as engineChoice from "./engine-choice.js";
import * as engineStep from "./engine-step.js";
import * as link from "./link.js";
import * as memory from "./memory.js";
import * as crashes from "./crashes.js";
import * as origins from "./origins.js";
import * as throughput from "./throughput.js";

const out = command.printLine;
const n = (v: number, digits = 1): string => v.toFixed(digits);
const parts = process.argv[2]?.split(",") ?? [
  "decision",
  "serving",
  "link",
  "memory",
  "throughput",
];

if (parts.includes("decision")) {
  const rows = [["ENDPOINTS", "ADAPTERS", "ROUTING US", "BYTES"]];
  for (const endpoints of [6, 60, 600]) {
    for (const adapters of [3000, 28_000, 280_000]) {
      const c = await decision.routing(endpoints, adapters);
      rows.push([String(endpoints), String(adapters), n(c.us), n(c.bytes, 0)]);
    }
  }
  out(command.formatTable(rows));
  const plans = [0, 16, 256].map((w) => {
    const c = decision.planning(w);
    return [String(w), n(c.us), n(c.bytes, 0)];
  });
  out(command.formatTable([["WAITING", "PLAN US", "BYTES"], ...plans]));
  const changes = [3000, 28_000, 280_000].map((a) => {
    const c = decision.change(a);
    return [String(a), n(c.mb), n(c.ms)];
  });
  out(command.formatTable([["ADAPTERS", "INTENT MB", "CHANGE MS"], ...changes]));
  out(`checking one event of a stream: ${n(decision.checking().us)} us`);
  const news = decision.news();
  out(`news: ${news.wire} bytes, ${n(news.us)} us to write and read`);
}
if (parts.includes("serving")) {
  const rows = [["OPEN SEATS", "WAITING", "STEADY STREAMS", "REQUEST US"]];
  for (const load of [
    engineStep.CROWDED,
    { ...engineStep.CROWDED, isSteady: false },
    { ...engineStep.CROWDED, waiting: 0 },
  ]) {
    const us = await engineStep.request(load);
    rows.push([String(load.open), String(load.waiting), load.isSteady ? "yes" : "no", n(us, 0)]);
  }
  out(command.formatTable(rows));
  const choices = [["ENGINES", "CROWDING", "CHOICE US", "BYTES"]];
  for (const engines of [32, 300]) {
    for (const crowding of [undefined, 0.3, 0.9]) {
      const c = engineChoice.choosing(engines, crowding);
      choices.push([String(engines), String(crowding ?? "none"), n(c.us), n(c.bytes, 0)]);
    }
  }
  out(command.formatTable(choices));
  const report = await origins.reporting();
  out(
    `reporting a stream's origin to one keeper: ${n(report.us)} us, both ends, ${report.bytes} bytes`,
  );
  for (const streams of [1, 4, 32])
    out(`logging ${streams} streams at once: ${n(await origins.logging(streams))} us, both ends`);
}
if (parts.includes("crashes")) {
  const rows = [["CRASHED WORKERS", "CHECK US", "RUN US", "RUN BYTES", "FINDING US"]];
  for (const crashed of [0, 3, 30, 100]) {
    const run = crashes.recordingRun(crashed);
    const [check, find] = [crashes.checking(crashed), crashes.finding(crashed)];
    rows.push([String(crashed), n(check.us, 2), n(run.us, 2), n(run.bytes, 0), n(find.us, 0)]);
  }
  out(command.formatTable(rows));
}
if (parts.includes("link")) {
  out(`signing and checking: ${n(link.signing().us)} us`);
  const costs = await link.calls();
  const rows = Object.entries(costs).map(([name, c]) => [name, n(c.cpuUs, 0), n(c.bytes, 0)]);
  out(command.formatTable([["CONTROL CALL", "CPU US, BOTH ENDS", "BYTES"], ...rows]));
}
if (parts.includes("memory")) {
  const rows = [["ADAPTERS", "ENTRY DAEMON RSS MB", "STORE CALLS TO START"]];
  for (const adapters of [100, 28_000]) {
    const s = await memory.start(adapters);
    rows.push([String(adapters), n(s.rssMb, 0), String(s.storeCalls)]);
  }
  out(command.formatTable(rows));
}
if (parts.includes("throughput")) {
  const head = [
    "CONNECTIONS",
    "STREAM",
    "ENTRY /S",
    "BARE /S",
    "RATIO",
    "ADDED P50 MS",
    "ADDED P95 MS",
    "ENTRY CPU US",
    "BARE CPU US",
  ];
  const rows = (await throughput.run()).map((p) => [
    String(p.connections),
    p.streamed ? "yes" : "no",
    n(p.entry.perS, 0),
    n(p.bare.perS, 0),
    n(p.entry.perS / p.bare.perS, 2),
    n(p.entry.p50Ms - p.bare.p50Ms, 2),
    n(p.entry.p95Ms - p.bare.p95Ms, 2),
    n(p.entry.cpuUs, 0),
    n(p.bare.cpuUs, 0),
  ]);
  out(command.formatTable([head, ...rows]));
}
process.exit(0);
