import type * as http from "node:http";
import * as net from "node:net";
import * as chai from "chai";
import * as fc from "fast-check";
import * as documents from "../../platform/documents.js";
import * as wire from "../../platform/wire.js";
import * as clock from "../../src/host/clock.js";
import * as record from "../../src/host/record.js";
import * as authentication from "../../src/serving/authentication.js";
import * as caps from "../../src/serving/caps.js";
import * as catalog from "../../src/serving/catalog.js";
import * as limiter from "../../src/serving/limiter.js";
import * as door from "../../src/serving/door.js";
import * as front from "../../src/serving/front.js";
import * as meters from "../../src/serving/meters.js";
import * as dispatching from "../serving/dispatching.js";
import * as fixtures from "../serving/fixtures.js";

const { expect } = chai;

const BOUNDS = authentication.bounds(3000, 5000);
const TEAMS = [
  { name: "news", apiKeys: ["k-news", "k-news-2"], priority: 0 },
  { name: "sport", apiKeys: ["k-sport"] },
  {
    name: "small",
    apiKeys: ["k-small"],
    unit: "token_rate",
    plainTokens: 50,
    ratePerS: 100,
    burst: 100,
  },
  { name: "keyless", apiKeys: [] },
];
const LIMITS = {
  maxHeaderBytes: 8192,
  maxBodyBytes: 10_000,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 5000,
};

function config(version: number, tenants: unknown): object {
  const route = {
    host: "a.example",
    kind: "idempotent",
    timeoutMs: 1500,
    targetLatencyMs: 300,
    priority: 3,
    service: "guide",
    attempts: 1,
  };
  return {
    version,
    routes: [
      { ...route, name: "closed", prefix: "/closed/" },
      { ...route, name: "open", prefix: "/open/", noAuth: true },
    ],
    services: [{ name: "guide" }],
    limits: LIMITS,
    tenants,
  };
}

function configured(at: catalog.Catalog, version: number, tenants: unknown): catalog.Catalog {
  const step = documents.stepOf("op/config", JSON.stringify(config(version, tenants)));
  return step ? catalog.step(at, step) : at;
}

/** An entry host before one plain worker, on its real port. */
async function site() {
  const seen: { path: string; headers: http.IncomingHttpHeaders; raw: string[] }[] = [];
  const worker = await fixtures.worker((req, res) => {
    seen.push({ path: req.url ?? "", headers: req.headers, raw: req.rawHeaders });
    const id = String(req.headers["x-sumacfield-attempt-id"] ?? "");
    const headers = { "x-sumacfield-attempt-id": id, "x-sumacfield-server-signature": "s" };
    setTimeout(() => {
      res.writeHead(200, headers);
      res.end("whole");
    }, 5);
  });
  let newsAgeMs = 0;
  const endpoint = {
    ...fixtures.endpoint("w1", worker.address),
    labels: { "sumacfield/service": "guide" },
  };
  let at = catalog.step(configured(catalog.EMPTY, 1, TEAMS), { kind: "endpoint", endpoint });
  const made = dispatching.open(() => at, undefined, clock.system, wire.PROTOCOL);
  const shared = new limiter.Limiter({
    clock: clock.system,
    log: record.silent,
    totals: () => caps.totals(at.config, 0),
    places: () => [],
    hosts: () => 1,
  });
  const capped = new caps.Caps({ limiter: shared, catalog: () => at, overdraft: 0 });
  const port = await door.open("127.0.0.1:0");
  const callers = new front.Front(port, {
    clock: clock.system,
    log: record.silent,
    protocol: wire.PROTOCOL,
    catalog: () => at,
    dispatch: made.dispatcher,
    caps: capped,
    meters: meters.open(),
    newsAgeMs: () => newsAgeMs,
    bounds: BOUNDS,
    random: () => 0,
  });
  return {
    seen,
    port: (port.server.address() as net.AddressInfo).port,
    configure: (version: number, tenants: unknown): void => {
      at = configured(at, version, tenants);
    },
    age: (ms: number): void => {
      newsAgeMs = ms;
    },
    stop: async (): Promise<void> => {
      port.server.closeAllConnections();
      await callers.close();
      shared.close();
      made.close();
      worker.close();
    },
  };
}

type Site = Awaited<ReturnType<typeof site>>;

/** Sends bytes on a new connection; resolves with what comes back within `ms`, or until the connection ends. */
function exchange(port: number, bytes: string | Buffer, ms = 400): Promise<string> {
  return new Promise((resolve) => {
    let got = "";
    const socket = net.connect(port, "127.0.0.1");
    const end = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(got);
    };
    const timer = setTimeout(end, ms);
    socket.on("data", (part: Buffer) => {
      got += part.toString("latin1");
      if (got.includes("whole") || got.includes('{"error"')) end();
    });
    socket.on("error", end);
    socket.on("close", end);
    socket.write(bytes);
  });
}

function request(path: string, lines: readonly string[], body = ""): string {
  const head = [`POST ${path} HTTP/1.1`, "Host: a.example", "X-Sumacfield-Attempt-Id: r1"];
  const length = body === "" ? [] : [`Content-Length: ${body.length}`];
  return [...head, ...lines, ...length, "", body].join("\r\n");
}

async function status(s: Site, path: string, ...lines: readonly string[]): Promise<number> {
  return Number((await exchange(s.port, request(path, lines))).slice(9, 12));
}

const KEY = "Authorization: Token k-news";

describe("callers' keys", () => {
  let s: Site;
  beforeEach(async () => {
    s = await site();
  });
  afterEach(() => s.stop());

  it("let a request in, under the name of the team that holds the key", async () => {
    expect(await status(s, "/closed/x", KEY)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: token k-sport")).equal(200);
    expect(s.seen.map((r) => r.headers["x-sumacfield-tenant"])).deep.equal(["news", "sport"]);
  });

  it("never reach a worker, nor does a team that the caller names", async () => {
    const claims = [
      "X-Sumacfield-Tenant: sport",
      "x-SUMACFIELD-tenant: small",
      "Connection: X-Sumacfield-Tenant",
    ];
    expect(await status(s, "/closed/x", KEY, ...claims)).equal(200);
    expect(await status(s, "/open/x", KEY, ...claims)).equal(200);
    for (const r of s.seen) expect(r.raw.join("\n")).not.contain("k-news");
    expect(s.seen.map((r) => r.headers["x-sumacfield-tenant"])).deep.equal(["news", undefined]);
  });

  it("are refused with 401 where they are missing, malformed, doubled or unknown", async () => {
    const wrong = [
      [],
      ["Authorization:"],
      ["Authorization: Token"],
      ["Authorization: Token "],
      ["Authorization: Bearer k-news"],
      ["Authorization: k-news"],
      ["Authorization: Token k-news k-news"],
      ["Authorization: Token k-news,k-news"],
      ["Authorization: Token K-NEWS"],
      ["Authorization: Token k-nobody"],
      [KEY, KEY],
      [KEY, "Authorization: Token k-nobody"],
      [`Authorization: Token ${"k".repeat(300)}`],
    ];
    for (const lines of wrong)
      expect(await status(s, "/closed/x", ...lines), lines.join()).equal(401);
    expect(s.seen).length(0);
  });

  it("are judged before the body comes", async () => {
    const head = request("/closed/x", ["Authorization: Token k-nobody", "Content-Length: 5000"]);
    expect((await exchange(s.port, head)).slice(9, 12)).equal("401");
    expect((await exchange(s.port, request("/closed/x", [], "x".repeat(5000)))).slice(9, 12)).equal(
      "401",
    );
  });

  it("give their team's rank, which goes before the route's", async () => {
    await status(s, "/closed/x", KEY);
    await status(s, "/closed/x", "Authorization: Token k-sport");
    expect(s.seen.map((r) => r.headers["x-sumacfield-request-priority"])).deep.equal(["0", "3"]);
  });

  it("are taken away, moved and added by new configurations", async () => {
    s.configure(2, [
      { name: "sport", apiKeys: ["k-news"] },
      { name: "new", apiKeys: ["k-new"] },
    ]);
    expect(await status(s, "/closed/x", KEY)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-sport")).equal(401);
    expect(await status(s, "/closed/x", "Authorization: Token k-new")).equal(200);
    expect(s.seen.map((r) => r.headers["x-sumacfield-tenant"])).deep.equal(["sport", "new"]);
  });

  it("are refused with 503 by a host that has not heard from the store for long, and nobody gets a 404 there", async () => {
    s.age(3400);
    expect(await status(s, "/closed/x", KEY)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-nobody")).equal(503);
    expect(await status(s, "/nowhere/x")).equal(503);
    s.age(3600);
    expect(await status(s, "/closed/x", KEY)).equal(503);
    expect(await status(s, "/open/x")).equal(200);
  });

  it("refuse a team beyond its cap with 429 and the time after which to come back", async () => {
    const small = ["Authorization: Token k-small", "X-Sumacfield-Token-Usage: 30,20"];
    const answer = await exchange(s.port, request("/closed/x", small));
    expect(answer.slice(9, 12)).equal("429");
    const comeBackS = Number(/retry-after: ([\d.]+)/i.exec(answer)?.[1]);
    expect(comeBackS).within(0.3, 0.5);
    await clock.sleep(clock.system, comeBackS * 1000 + 20);
    expect(await status(s, "/closed/x", ...small)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-small")).equal(429);
    expect(await status(s, "/closed/x", KEY)).equal(200);
  });

  it("stand for nothing in a configuration whose teams cannot be read, and fall away one by one", async () => {
    s.configure(2, "teams");
    expect(await status(s, "/closed/x", KEY)).equal(401);
    expect(await status(s, "/open/x")).equal(200);
    s.configure(3, [
      { name: "a b", apiKeys: ["k-1"] },
      { name: "sport", apiKeys: ["k-2"] },
      null,
      7,
      { apiKeys: ["k-3"] },
    ]);
    expect(await status(s, "/closed/x", "Authorization: Token k-1")).equal(401);
    expect(await status(s, "/closed/x", "Authorization: Token k-2")).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-3")).equal(401);
  });

  it("that two teams list are held by neither; one listed twice by a team is held", async () => {
    s.configure(2, [
      { name: "news", apiKeys: ["k-1", "k-1", "k-2"] },
      { name: "sport", apiKeys: ["k-2"] },
    ]);
    expect(await status(s, "/closed/x", "Authorization: Token k-1")).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-2")).equal(401);
  });

  it("may be thousands", async () => {
    const many = Array.from({ length: 4000 }, (_, i) => ({
      name: `t${i}`,
      apiKeys: [`k${i}`, `l${i}`],
    }));
    s.configure(2, many);
    expect(await status(s, "/closed/x", "Authorization: Token l3999")).equal(200);
    expect(s.seen[0]?.headers["x-sumacfield-tenant"]).equal("t3999");
  });
});

describe("a request inside another one", () => {
  let s: Site;
  before(async () => {
    s = await site();
  });
  after(() => s.stop());

  const INNER = request("/closed/smuggled", [KEY]);

  it("is never passed on", async () => {
    const outer = ["POST /open/x HTTP/1.1", "Host: a.example", "X-Sumacfield-Attempt-Id: r1"];
    const with_ = (...lines: readonly string[]): string => [...outer, ...lines].join("\r\n");
    const tries = [
      with_("Content-Length: 3", "Transfer-Encoding: chunked", "", `0\r\n\r\n${INNER}`),
      with_("Transfer-Encoding: chunked", "Content-Length: 3", "", `0\r\n\r\n${INNER}`),
      with_("Content-Length: 3", `Content-Length: ${INNER.length}`, "", INNER),
      with_("Transfer-Encoding: chunked", "Transfer-Encoding: identity", "", `0\r\n\r\n${INNER}`),
      with_("Transfer-Encoding: xchunked", "", `0\r\n\r\n${INNER}`),
      with_("Transfer-Encoding : chunked", "", `0\r\n\r\n${INNER}`),
      with_(`Content-Length: +${INNER.length}`, "", INNER),
      with_(`Content-Length: ${INNER.length}`, "", INNER),
      with_(`Last-Event-Id: 1\n\n${INNER}`, "", ""),
      with_(`Last-Event-Id: 1\r\r${INNER}`, "", ""),
      with_("Authorization: Token a\r\n b", "", ""),
      `${outer.join("\n")}\n\n${INNER}`.replace("/open/x", "//open/x"),
      with_(
        "Transfer-Encoding: chunked",
        "",
        `${INNER.length.toString(16)}\r\n${INNER}\r\n0\r\n\r\n`,
      ),
      with_("Transfer-Encoding: chunked", "", `-1\r\n${INNER}\r\n0\r\n\r\n`),
      with_("Expect: 100-continue", `Content-Length: ${INNER.length}`, "", INNER),
    ];
    for (const bytes of tries) await exchange(s.port, bytes, 120);
    await clock.sleep(clock.system, 100);
    expect(s.seen.map((r) => r.path)).not.contain("/closed/smuggled");
  });

  it("is never passed on, and no key lets in what it should not, whatever bytes come", async () => {
    const piece = fc.constantFrom(
      "POST /closed/x HTTP/1.1\r\n",
      "POST /open/x HTTP/1.1\r\n",
      "Host: a.example\r\n",
      "Authorization: Token k-nobody\r\n",
      "Authorization: Token \r\n",
      "X-Sumacfield-Tenant: news\r\n",
      "Content-Length: 4\r\n",
      "Transfer-Encoding: chunked\r\n",
      "\r\n",
      "\n",
      "\r",
      "0\r\n\r\n",
      "4\r\nbody\r\n",
      "body",
      "\0",
      " ",
    );
    await fc.assert(
      fc.asyncProperty(fc.array(piece, { maxLength: 14 }), async (pieces) => {
        await exchange(s.port, pieces.join(""), 15);
      }),
      { numRuns: 150 },
    );
    expect(s.seen.filter((r) => r.path.startsWith("/closed/"))).deep.equal([]);
    for (const r of s.seen) expect(r.headers["x-sumacfield-tenant"]).equal(undefined);
  });
});
