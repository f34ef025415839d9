import * as chai from "chai";
import * as net from "node:net";
import * as fc from "fast-check";
import * as clock from "../../src/host/clock.js";

import * as callersSite from "./callers-site.js";

const { expect } = chai;

/** Sends bytes on a new connection. Resolves with what is received within `ms`, or until the connection closes. */
function exchange(port: number, bytes: string | Buffer, ms = 400): Promise<string> {
  return new Promise((resolve) => {
    let received = "";
    const socket = net.connect(port, "127.0.0.1");
    const end = (): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(received);
    };
    const timer = setTimeout(end, ms);
    socket.on("data", (chunk: Buffer) => {
      received += chunk.toString("latin1");
      if (received.includes("whole") || received.includes('{"error"')) end();
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

async function status(
  s: callersSite.Site,
  path: string,
  ...lines: readonly string[]
): Promise<number> {
  return Number((await exchange(s.port, request(path, lines))).slice(9, 12));
}

const KEY = "Authorization: Token k-news";

describe("callers' keys", () => {
  let s: callersSite.Site;
  beforeEach(async () => {
    s = await callersSite.site();
  });
  afterEach(() => s.stop());

  it("let a request pass, under the name of the team that holds the key", async () => {
    expect(await status(s, "/closed/x", KEY)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: token k-sport")).equal(200);
    expect(s.seen.map((r) => r.headers["x-sumacfield-tenant"])).deep.equal(["news", "sport"]);
  });

  it("never reach a worker, and neither does a team name sent by the caller", async () => {
    const spoofedHeaders = [
      "X-Sumacfield-Tenant: sport",
      "x-SUMACFIELD-tenant: small",
      "Connection: X-Sumacfield-Tenant",
    ];
    expect(await status(s, "/closed/x", KEY, ...spoofedHeaders)).equal(200);
    expect(await status(s, "/open/x", KEY, ...spoofedHeaders)).equal(200);
    for (const r of s.seen) expect(r.raw.join("\n")).not.contain("k-news");
    expect(s.seen.map((r) => r.headers["x-sumacfield-tenant"])).deep.equal(["news", undefined]);
  });

  it("are refused with 401 if missing, malformed, duplicated or unknown", async () => {
    const invalid = [
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
    for (const lines of invalid)
      expect(await status(s, "/closed/x", ...lines), lines.join()).equal(401);
    expect(s.seen).length(0);
  });

  it("are checked before the body arrives", async () => {
    const head = request("/closed/x", ["Authorization: Token k-nobody", "Content-Length: 5000"]);
    expect((await exchange(s.port, head)).slice(9, 12)).equal("401");
    expect((await exchange(s.port, request("/closed/x", [], "x".repeat(5000)))).slice(9, 12)).equal(
      "401",
    );
  });

  it("give a request their team's rank, which overrides the route's", async () => {
    await status(s, "/closed/x", KEY);
    await status(s, "/closed/x", "Authorization: Token k-sport");
    expect(s.seen.map((r) => r.headers["x-sumacfield-request-priority"])).deep.equal(["0", "3"]);
  });

  it("are revoked, moved and added by new configurations", async () => {
    s.configure(2, [
      { name: "sport", apiKeys: ["k-news"] },
      { name: "new", apiKeys: ["k-new"] },
    ]);
    expect(await status(s, "/closed/x", KEY)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-sport")).equal(401);
    expect(await status(s, "/closed/x", "Authorization: Token k-new")).equal(200);
    expect(s.seen.map((r) => r.headers["x-sumacfield-tenant"])).deep.equal(["sport", "new"]);
  });

  it("are refused with 503 by a host whose configuration is too old, and unknown routes likewise instead of with 404", async () => {
    s.setCatalogAge(3400);
    expect(await status(s, "/closed/x", KEY)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-nobody")).equal(503);
    expect(await status(s, "/nowhere/x")).equal(503);
    s.setCatalogAge(3600);
    expect(await status(s, "/closed/x", KEY)).equal(503);
    expect(await status(s, "/open/x")).equal(200);
  });

  it("of a team beyond its cap get 429 and a retry time", async () => {
    const small = ["Authorization: Token k-small", "X-Sumacfield-Token-Usage: 30,20"];
    const response = await exchange(s.port, request("/closed/x", small));
    expect(response.slice(9, 12)).equal("429");
    const retryAfterS = Number(/retry-after: ([\d.]+)/i.exec(response)?.[1]);
    expect(retryAfterS).within(0.3, 0.5);
    await clock.sleep(clock.system, retryAfterS * 1000 + 20);
    expect(await status(s, "/closed/x", ...small)).equal(200);
    expect(await status(s, "/closed/x", "Authorization: Token k-small")).equal(429);
    expect(await status(s, "/closed/x", KEY)).equal(200);
  });

  it("are unknown if their team, or the whole list of teams, cannot be decoded", async () => {
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

  it("listed by two teams belong to neither; a key listed twice by one team belongs to it", async () => {
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

describe("a request body", () => {
  let s: callersSite.Site;
  beforeEach(async () => {
    s = await callersSite.site(100_000);
  });
  afterEach(() => s.stop());

  const send = (lines: readonly string[], body = ""): Promise<string> => {
    const head = ["POST /open/x HTTP/1.1", "Host: a.example", "X-Sumacfield-Attempt-Id: r1"];
    return exchange(s.port, [...head, ...lines, "", body].join("\r\n"));
  };

  // Guards against a body that fills the host's memory, announced or not, and one whose caller cannot read the refusal.
  it("that the memory budget has no room for is refused with 503, a retry time and the end of the connection", async () => {
    const refusal = /^HTTP\/1.1 503 [^]*no memory for the body/;
    const chunk = `${(60_000).toString(16)}\r\n${"x".repeat(60_000)}\r\n`;
    for (const answer of [
      await send(["Content-Length: 60000"], "x".repeat(30_000)),
      await send(["Transfer-Encoding: chunked"], chunk),
    ]) {
      expect(answer)
        .match(refusal)
        .match(/retry-after: 0\.3/i)
        .match(/connection: close/i);
    }
    expect(s.seen).deep.equal([]);
    expect(await send(["Content-Length: 40000"], "x".repeat(40_000))).match(/^HTTP\/1.1 200/);
    expect(await send(["Content-Length: 40000"], "x".repeat(40_000))).match(/^HTTP\/1.1 200/);
  });

  // Guards against heads of very many fields that fill the host's memory though they are small in bytes.
  it("comes too late where the memory budget has no room for the fields of its head", async () => {
    const fields = (count: number): string[] => Array.from({ length: count }, () => "1:");
    expect(await send(fields(1400)))
      .match(/^HTTP\/1.1 503 [^]*no memory for the headers/)
      .match(/retry-after: 0\.3/i);
    expect(s.seen).deep.equal([]);
    expect(await send(fields(100))).match(/^HTTP\/1.1 200/);
  });

  // Guards against a body that never ends holding its memory for ever.
  it("that has not arrived by the request's deadline is refused", async () => {
    const answer = await send(["X-Sumacfield-Deadline-Ms: 100", "Content-Length: 1000"], "x");
    expect(answer)
      .match(/^HTTP\/1.1 503 [^]*did not arrive/)
      .match(/connection: close/i);
  });
});

describe("a request inside another one", () => {
  let s: callersSite.Site;
  before(async () => {
    s = await callersSite.site();
  });
  after(() => s.stop());

  const INNER = request("/closed/smuggled", [KEY]);

  it("is never forwarded", async () => {
    const outer = ["POST /open/x HTTP/1.1", "Host: a.example", "X-Sumacfield-Attempt-Id: r1"];
    const withOuter = (...lines: readonly string[]): string => [...outer, ...lines].join("\r\n");
    const attempts = [
      withOuter("Content-Length: 3", "Transfer-Encoding: chunked", "", `0\r\n\r\n${INNER}`),
      withOuter("Transfer-Encoding: chunked", "Content-Length: 3", "", `0\r\n\r\n${INNER}`),
      withOuter("Content-Length: 3", `Content-Length: ${INNER.length}`, "", INNER),
      withOuter(
        "Transfer-Encoding: chunked",
        "Transfer-Encoding: identity",
        "",
        `0\r\n\r\n${INNER}`,
      ),
      withOuter("Transfer-Encoding: xchunked", "", `0\r\n\r\n${INNER}`),
      withOuter("Transfer-Encoding : chunked", "", `0\r\n\r\n${INNER}`),
      withOuter(`Content-Length: +${INNER.length}`, "", INNER),
      withOuter(`Content-Length: ${INNER.length}`, "", INNER),
      withOuter(`Last-Event-Id: 1\n\n${INNER}`, "", ""),
      withOuter(`Last-Event-Id: 1\r\r${INNER}`, "", ""),
      withOuter("Authorization: Token a\r\n b", "", ""),
      `${outer.join("\n")}\n\n${INNER}`.replace("/open/x", "//open/x"),
      withOuter(
        "Transfer-Encoding: chunked",
        "",
        `${INNER.length.toString(16)}\r\n${INNER}\r\n0\r\n\r\n`,
      ),
      withOuter("Transfer-Encoding: chunked", "", `-1\r\n${INNER}\r\n0\r\n\r\n`),
      withOuter("Expect: 100-continue", `Content-Length: ${INNER.length}`, "", INNER),
    ];
    for (const bytes of attempts) await exchange(s.port, bytes, 120);
    await clock.sleep(clock.system, 100);
    expect(s.seen.map((r) => r.path)).not.contain("/closed/smuggled");
  });

  it("is never forwarded, and unauthenticated requests never pass, whatever bytes are sent", async () => {
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
