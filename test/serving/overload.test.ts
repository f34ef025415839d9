import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as catalog from "../../src/serving/catalog.js";
import * as presence from "../../src/serving/overload/presence.js";
import * as blockedLoop from "./blocked-loop.js";
import * as dispatcherFixture from "./dispatcher-fixture.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

type Site = Awaited<ReturnType<typeof blockedLoop.open>>;

/** Milliseconds after which all that was sent has been read and served. */
const SETTLE_MS = 150;
/** Several times what one read takes, and few enough for the kernel to hold with the end behind them. */
const BODY_BYTES = 200_000;
/** Milliseconds for which the event loop is blocked. */
const BLOCK_MS = 350;

const stays = (name: string, path = `/c/${name}`): blockedLoop.Act => ({
  name,
  text: blockedLoop.get(path),
  leaves: false,
});
const leaves = (name: string): blockedLoop.Act => ({ ...stays(name), leaves: true });

describe("an entry host whose event loop is behind", () => {
  let site: Site | undefined;

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  /**
   * A site that serves one request already, and has the idle connections `kept`. By default, no request is refused because
   * of the lag.
   */
  async function busySite(
    kept: readonly string[],
    targetMs = 2000,
    toleratesLagMs = 0,
    kind: catalog.Route["kind"] = "once",
  ): Promise<Site> {
    site = await blockedLoop.open({ targetMs, kind }, toleratesLagMs);
    site.act([stays("held"), ...kept.map((name) => stays(name, "/c/before"))]);
    await timers.setTimeout(SETTLE_MS);
    return site;
  }

  /*
   * Guards against sending a request before the end of its caller's connection is read. Both wait in the kernel while the
   * event loop is blocked, and the end is read one turn of the event loop after the request.
   */
  it("sends no request whose caller has left", async () => {
    const { arrivals, logged, actBlocked } = await busySite(["kept1", "kept2"]);
    const before = arrivals.length;
    actBlocked(["kept1", "kept2", "new1", "new2", "new3"].map(leaves), BLOCK_MS);
    await timers.setTimeout(SETTLE_MS);
    expect(arrivals.slice(before).map((a) => a.path)).deep.equal([]);
    const uncharged = logged.filter((s) => s === "A caller left before its request was served.");
    expect(uncharged).length(5);
  });

  /* Guards against a body whose end, with the end of the connection behind it, is read after the poll. */
  it("sends no request whose body ends with its caller's connection", async () => {
    const { arrivals, actBlocked } = await busySite(["kept"]);
    const body = "x".repeat(BODY_BYTES);
    const head = `POST /c/post HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${body.length}`;
    actBlocked([{ name: "kept", text: `${head}\r\n\r\n${body}`, leaves: true }], BLOCK_MS);
    await timers.setTimeout(SETTLE_MS);
    expect(arrivals.map((a) => a.path)).not.include("/c/post");
  });

  /* Guards against a worker that is told to work for longer than the caller waits. */
  it("takes the time that a request has waited from what its worker may use", async () => {
    const { arrivals, received, actBlocked } = await busySite(["kept"]);
    actBlocked([stays("kept")], BLOCK_MS);
    await timers.setTimeout(SETTLE_MS);
    expect(received.get("kept")).contain("200 OK");
    const sent = arrivals.find((a) => a.path === "/c/kept");
    expect(sent?.leftMs).within(1, 2000 - BLOCK_MS + 100);
  });

  /* Guards against a stream that is cut, here or by its worker, since the estimated wait counts as time that has passed. */
  it("cuts no stream before the time that its caller waits has passed since it was read", async () => {
    const waitMs = 700;
    const { arrivals, actBlocked } = await busySite(["kept"], 2000, 0, "stream");
    const text = blockedLoop.get("/c/stream", waitMs);
    actBlocked([{ name: "kept", text, leaves: false }], BLOCK_MS);
    const unblockedAt = performance.now();
    await timers.setTimeout(waitMs + SETTLE_MS);
    const stream = arrivals.find((a) => a.path === "/c/stream");
    expect(stream?.closedAt).least(unblockedAt + waitMs);
    expect(stream?.leftMs).within(waitMs - BLOCK_MS + 100, waitMs);
  });

  /* Guards against a request that is served late instead of by another host, and a caller that comes back. */
  it("refuses at once what would be late, unsent, and closes its connection", async () => {
    const { arrivals, received, metrics, actBlocked } = await busySite(["kept"], 200);
    actBlocked([stays("kept")], BLOCK_MS);
    await timers.setTimeout(SETTLE_MS);
    const refusal = received.get("kept")?.slice(received.get("kept")?.indexOf("HTTP/1.1 503"));
    expect(refusal?.toLowerCase()).match(/^http.*\r\nconnection: close\r\n/s);
    expect(refusal?.toLowerCase()).match(/retry-after: 0\.[1-9]/);
    expect(arrivals.map((a) => a.path)).not.include("/c/kept");
    expect(await metrics.text()).contain('sumacfield_lag_refusals_total{rank="1"} 1');
  });

  /* Guards against hosts that all start at once and send each other's callers away. */
  it("serves late what it would refuse, while it starts, but nothing whose caller has left", async () => {
    const { arrivals, received, actBlocked } = await busySite(["kept", "gone"], 200, 60_000);
    actBlocked([stays("kept"), leaves("gone")], BLOCK_MS);
    await timers.setTimeout(SETTLE_MS);
    expect(received.get("kept")).match(/200 OK[^]*200 OK/);
    expect(arrivals.map((a) => a.path))
      .include("/c/kept")
      .and.not.include("/c/gone");
  });
});

describe("a request that waited while the event loop was blocked", () => {
  for (const left of [true, false]) {
    it(`is sent after a poll, ${left ? "unless its caller has left" : "if its caller is there"}`, async () => {
      let arrivals = 0;
      const worker = await fixtures.worker((_req, res) => {
        arrivals++;
        res.writeHead(200, fixtures.good()).end("whole");
      });
      const endpoint = fixtures.endpoint("w1", worker.address);
      const endpoints = new Map([["w1", endpoint]]);
      const setup = dispatcherFixture.create({
        ...catalog.EMPTY,
        config: fixtures.CONFIG,
        endpoints,
      });
      const gone = new AbortController();
      // Stale again when the new connection is ready, as after another long turn.
      const stale = [true, false, true, true];
      const { response, seen } = dispatcherFixture.recorded();
      const caller: presence.Presence = {
        hasLeft: () => gone.signal.aborted,
        isStale: () => stale.shift() ?? false,
        isBehind: () => false,
        confirm: () => {
          if (left && stale.length === 0) gone.abort();
          return Promise.resolve();
        },
      };
      await setup.dispatcher.serve(fixtures.request(), {
        ...response,
        disconnected: gone.signal,
        presence: caller,
      });
      setup.close();
      worker.close();
      expect(arrivals).equal(left ? 0 : 1);
      expect(seen).deep.equal(left ? [] : ["answer 200"]);
    });
  }
});

describe("the end of a caller's connection", () => {
  /* Guards against a listener left behind by each request of a kept connection. */
  it("is told to each open request once, with one listener", () => {
    const socket = new net.Socket();
    const before = socket.listenerCount("end");
    const told: number[] = [];
    const unregister = Array.from({ length: 20 }, (_, i) =>
      presence.onEnd(socket, () => told.push(i)),
    );
    for (const each of unregister.slice(0, 18)) each();
    expect(socket.listenerCount("end")).equal(before + 1);
    socket.emit("end");
    expect(told).deep.equal([18, 19]);
  });
});
