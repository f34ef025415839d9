import * as chai from "chai";
import * as lines from "../bench/explain/lines.js";
import * as tables from "../bench/explain/tables.js";

const { expect } = chai;

const AT = "2026-01-01T00:00:0";

function over(second: number, more: object): string {
  const fields = {
    msg: "A request has ended.",
    request: "r",
    route: "a",
    targetMs: 500,
    tookMs: 900,
  };
  return `${second}.0 entry-1 ${JSON.stringify({ at: `${AT}${second}.000Z`, ...fields, ...more })}`;
}

function ended(
  daemon: string,
  request: string,
  identity: string,
  endpoint: string,
  verdict: string,
): string {
  const msg = "A worker crashed while running a request.";
  return JSON.stringify({ msg, daemon, request, identity, endpoint, verdict });
}

const LOG = [
  "0.0 entry-1 no line of a daemon",
  `{"at":"${AT}0.000Z","msg":"A seat was granted.","request":"r1","waitedMs":300}`,
  over(0, { request: "r1", ending: "whole", firstMs: 800, expectedMs: 400 }),
  over(1, { request: "r2", ending: "whole", firstMs: 100 }),
  over(4, { request: "r3", ending: "refused", why: "it would wait 812 ms", tookMs: 2 }),
  over(4, { request: "r4", ending: "refused", why: "it would wait 700 ms", tookMs: 4 }),
  '{"msg":"An order was sent.","daemon":"d1","order":"load","model":"m","adapter":"a","result":"accepted"}',
  '{"msg":"An order was sent.","daemon":"d1","order":"load","model":"m","adapter":"a","result":"conflict"}',
  ended("d1", "r5", "cause", "i-1", "suspected"),
  ended("d1", "r6", "company", "i-1", "suspected"),
  ended("d2", "r7", "cause", "i-2", "suspected"),
  ended("d1", "r7", "cause", "i-2", "quarantined"),
  over(4, { request: "r8", ending: "whole", firstMs: 100, route: "b", team: "news", units: 240 }),
  over(4, { request: "r9", ending: "whole", firstMs: 100, route: "b", team: "news", units: 20 }),
  '{"msg":"A request was refused.","status":429,"team":"news"}',
  '{"msg":"A request was refused.","status":401}',
  '{"msg":"A total is exhausted.","total":"team/news","perS":300}',
  '{"msg":"A request is ov',
].join("\n");

describe("explain", () => {
  const day = lines.read(LOG);

  it("counts what became of the requests of a route", () => {
    expect(tables.byRoute(day)[0]).include({ requests: 4, "on time": 1, late: 1, refused: 2 });
  });

  it("tells what each team used and what its cap turned away", () => {
    const [none, news] = tables.byTeam(day);
    expect(none).include({ team: "-", requests: 4, "not let in": 1, "over the cap": 0 });
    expect(news).include({ team: "news", units: 260, "cap a second": 300, "over the cap": 1 });
  });

  it("tells when it was", () => {
    expect(tables.byTime(day).map((r) => [r["from s"], r.requests])).deep.equal([
      [0, 2],
      [4, 4],
    ]);
  });

  it("puts reasons together that differ in their numbers alone", () => {
    const rows = tables.byReason(day);
    expect(rows).length(1);
    expect(rows[0]).include({ ending: "refused", requests: 2, why: "it would wait # ms" });
  });

  it("splits what late answers waited for into their seat and the rest", () => {
    expect(tables.late(day)[0]).include({ late: 1, "seat p50": 300, "rest p50": 500 });
  });

  it("names the request that most workers ended under first, and its company after it", () => {
    expect(tables.ends(day)).deep.equal([
      {
        identity: "cause",
        "workers ended": 2,
        "entry hosts": 2,
        attempts: 2,
        verdict: "quarantined",
      },
      {
        identity: "company",
        "workers ended": 1,
        "entry hosts": 1,
        attempts: 1,
        verdict: "suspected",
      },
    ]);
  });

  it("counts orders that repeat another", () => {
    expect(tables.orders(day)[0]).include({ orders: 2, "distinct adapters": 1, "not accepted": 1 });
  });
});
