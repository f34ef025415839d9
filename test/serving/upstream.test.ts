import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as exchange from "../../src/serving/exchange.js";
import * as upstream from "../../src/serving/upstream.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

const MARKS = () => ({ instance: "e", rank: 1, leftMs: 500 });
const HEAD = "HTTP/1.1 200 OK\r\ntest-id: r1\r\ntest-signed: 1\r\n";

/** Milliseconds from a part of an answer to the end of its connection, and for which a slow reader then pauses. */
const END_MS = 10;
const PAUSE_MS = 40;

/** The rest of answers whose connection ends, by what marks the end of the body, and what a reader gets of them. */
const ENDED = {
  "the close": { head: "connection: close\r\n\r\nabc", outcome: "abc" },
  "a length": { head: "connection: close\r\ncontent-length: 3\r\n\r\nabc", outcome: "abc" },
  "a length on a kept connection": { head: "content-length: 3\r\n\r\nabc", outcome: "abc" },
  "chunks that are cut": {
    head: "connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc",
    outcome: "broke off",
  },
};

/**
 * Sends one request to a worker that answers with raw bytes; resolves to the body, or to the kind of failure. The body is read
 * with a pause of `pauseMs` after each chunk.
 */
async function outcomeOf(answer: (socket: net.Socket) => void, pauseMs = 0): Promise<string> {
  const worker = await fixtures.rawWorker(answer);
  const upstreamPools = new upstream.Upstream(fixtures.WIRE, clock.system);
  try {
    const e = fixtures.endpoint("e", worker.address);
    const sent = await upstreamPools.send(
      fixtures.request(),
      e,
      MARKS,
      new AbortController().signal,
    );
    if (sent.kind !== "answer") return sent.kind;
    const pause = (): Promise<void> | undefined =>
      pauseMs > 0 ? timers.setTimeout(pauseMs) : undefined;
    return (await exchange.readAll(sent.body, 1000, pause)).toString();
  } catch {
    return "broke off";
  } finally {
    upstreamPools.close();
    worker.close();
  }
}

describe("upstream", () => {
  /* Guards against the cost of a stack trace for each request that goes well. */
  it("makes no error of an answer that is complete", async () => {
    const made: string[] = [];
    const { Error: original } = globalThis;
    class Counted extends original {
      constructor(message?: string) {
        super(message);
        made.push(message ?? "");
      }
    }
    globalThis.Error = Counted as ErrorConstructor;
    try {
      expect(await outcomeOf((s) => s.end(`${HEAD}content-length: 3\r\n\r\nabc`))).equal("abc");
    } finally {
      globalThis.Error = original;
    }
    expect(made).not.include("the answer ended before its head");
  });

  it("takes an answer without a length as complete when its connection closes normally", async () => {
    expect(await outcomeOf((s) => s.end(`${HEAD}connection: close\r\n\r\nabc`))).equal("abc");
  });

  it("takes an answer without a length as cut off at a reset that arrives with its last bytes", async () => {
    const cut = await outcomeOf((s) => {
      s.write(`${HEAD}connection: close\r\n\r\nabc`);
      s.resetAndDestroy();
    });
    expect(cut).equal("broke off");
  });

  it("takes an answer without a length as cut off at a later reset", async () => {
    const cut = await outcomeOf((s) => {
      s.write(`${HEAD}connection: close\r\n\r\nabc`);
      setTimeout(() => s.resetAndDestroy(), 30);
    });
    expect(cut).equal("broke off");
  });

  it("takes a chunked answer that ends early as cut off", async () => {
    const head = `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`;
    expect(await outcomeOf((s) => s.end(`${head}3\r\nabc\r\n`))).equal("broke off");
  });

  it("takes an answer shorter than its length as cut off", async () => {
    expect(await outcomeOf((s) => s.end(`${HEAD}content-length: 9\r\n\r\nabc`))).equal("broke off");
  });

  for (const [mark, { head, outcome }] of Object.entries(ENDED)) {
    it(`survives the end of an answer that is marked by ${mark} while its reader pauses`, async () => {
      const ending = (s: net.Socket): void => {
        s.write(HEAD + head);
        setTimeout(() => s.end(), END_MS);
      };
      expect(await outcomeOf(ending, PAUSE_MS)).equal(outcome);
    });
  }

  it("takes an answer without a length as cut off at a reset while its reader pauses", async () => {
    const reset = (s: net.Socket): void => {
      s.write(`${HEAD}connection: close\r\n\r\nabc`);
      setTimeout(() => s.resetAndDestroy(), END_MS);
    };
    expect(await outcomeOf(reset, PAUSE_MS)).equal("broke off");
  });

  it("does not trust an answer to another request", async () => {
    const other = HEAD.replace("r1", "r2");
    expect(await outcomeOf((s) => s.end(`${other}content-length: 3\r\n\r\nabc`))).equal("unknown");
  });

  it("does not trust a success without a signature", async () => {
    const bare = HEAD.replace("test-signed: 1\r\n", "");
    expect(await outcomeOf((s) => s.end(`${bare}content-length: 3\r\n\r\nabc`))).equal("unknown");
  });

  it("believes an endpoint that says it did not run the request", async () => {
    const head = "HTTP/1.1 503 Full\r\ntest-id: r1\r\ntest-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    expect(await outcomeOf((s) => s.end(head))).equal("not_run");
  });

  it("does not believe a 503 that says nothing of the run", async () => {
    const head = "HTTP/1.1 503 Full\r\ntest-id: r1\r\ncontent-length: 0\r\n\r\n";
    expect(await outcomeOf((s) => s.end(head))).equal("unproved");
  });

  it("reports that nothing was sent if no connection was made", async () => {
    const worker = await fixtures.rawWorker(() => undefined);
    worker.close();
    const upstreamPools = new upstream.Upstream(fixtures.WIRE, clock.system);
    const e = fixtures.endpoint("e", worker.address);
    const sent = await upstreamPools.send(
      fixtures.request(),
      e,
      MARKS,
      new AbortController().signal,
    );
    upstreamPools.close();
    expect(sent.kind).equal("unsent");
  });

  it("reports an unknown outcome after bytes that are no HTTP answer", async () => {
    expect(await outcomeOf((s) => s.end("rubbish\r\n\r\n"))).equal("unknown");
  });

  it("does not fail a daemon that hears of a lost endpoint after it was closed", async () => {
    const worker = await fixtures.rawWorker((s) => s.end("rubbish\r\n\r\n"));
    const upstreamPools = new upstream.Upstream(fixtures.WIRE, clock.system);
    const e = fixtures.endpoint("e", worker.address);
    await upstreamPools.send(fixtures.request(), e, MARKS, new AbortController().signal);
    const rejected: unknown[] = [];
    const listeners = process.listeners("unhandledRejection");
    process.removeAllListeners("unhandledRejection");
    process.once("unhandledRejection", (err) => rejected.push(err));
    upstreamPools.close();
    upstreamPools.retain(new Set());
    await new Promise((resolve) => setTimeout(resolve, 20));
    process.removeAllListeners("unhandledRejection");
    for (const listener of listeners) process.on("unhandledRejection", listener);
    worker.close();
    expect(rejected).deep.equal([]);
  });
});
