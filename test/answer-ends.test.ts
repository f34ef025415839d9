import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as undici from "undici";
import * as service from "../src/endpoint/service.js";
import * as vllm from "../src/endpoint/vllm.js";
import * as connector from "../src/host/connector.js";
import * as fixtures from "./serving/fixtures.js";

const { expect } = chai;

const HEAD = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
const CUTS = {
  "together with its last bytes": (s: net.Socket): void => {
    s.write(`${HEAD}abc`);
    s.resetAndDestroy();
  },
  "after its last bytes": (s: net.Socket): void => {
    s.write(`${HEAD}abc`);
    setTimeout(() => s.resetAndDestroy(), 20);
  },
};

/** Bytes of a body that pause an answer until it is read. */
const PAUSING_BYTES = 65_536;

/** The body of a plain service's answer read after `delayMs`, or the message of the error that broke it off. */
async function serviceBody(answer: (socket: net.Socket) => void, delayMs = 0): Promise<string> {
  const server = await fixtures.rawWorker(answer);
  const client = service.open(`http://${server.address}`, 1);
  const req = new http.IncomingMessage(new net.Socket());
  try {
    const res = await client.run("GET", "/", req, AbortSignal.timeout(1000));
    if (delayMs > 0) await timers.setTimeout(delayMs);
    return await res.body.text();
  } catch (err) {
    return `error: ${String(err)}`;
  } finally {
    server.close();
  }
}

describe("an answer of a plain service without a length", () => {
  it("is complete when its connection closes normally", async () => {
    expect(await serviceBody((s) => s.end(`${HEAD}abc`))).equal("abc");
  });

  it("is complete though it has many bytes", async () => {
    const body = "a".repeat(300_000);
    expect((await serviceBody((s) => s.end(HEAD + body))).length).equal(body.length);
  });

  it("is complete when its connection closes before a slow reader begins", async () => {
    const body = "a".repeat(PAUSING_BYTES);
    expect(await serviceBody((s) => s.end(HEAD + body), 20)).equal(body);
  });

  for (const [when, cut] of Object.entries(CUTS)) {
    it(`is broken off when its connection is reset ${when}`, async () => {
      expect(await serviceBody(cut)).match(/^error/);
    });
  }
});

describe("an answer that a slow reader has paused", () => {
  // Guards against an assertion of undici outside of any call, which ends the daemon.
  it("is broken off when its connection is reset", async () => {
    const server = await fixtures.rawWorker((s) => {
      s.write(HEAD + "a".repeat(PAUSING_BYTES));
      setTimeout(() => s.resetAndDestroy(), 20);
    });
    const dispatcher = new undici.Agent({ connect: connector.pausable({}) });
    const res = await undici.request(`http://${server.address}`, { dispatcher });
    await timers.setTimeout(60);
    const read = await res.body.text().catch((err: unknown) => String(err));
    server.close();
    expect(read).match(/ECONNRESET/);
  });
});

describe("an engine's metrics", () => {
  const METRICS = "process_start_time_seconds 1234.5\nvllm:num_requests_running 3\n";

  async function startedAt(metrics: string): Promise<number | undefined> {
    const server = await fixtures.rawWorker((s) => {
      s.end(`${HEAD}${metrics}`);
    });
    const engine = vllm.open({
      url: `http://${server.address}`,
      timeoutMs: 1000,
      orderTimeoutMs: 1000,
      connections: 1,
    });
    try {
      return (await engine.health()).startedAt;
    } finally {
      server.close();
    }
  }

  it("are read when their connection closes after the last line", async () => {
    expect(await startedAt(METRICS)).equal(1234.5);
  });

  it("are not read when their connection closes within a line, as that would name another start", async () => {
    const failed = await startedAt(METRICS.slice(0, 30)).catch((err: unknown) => String(err));
    expect(failed).match(/broke off/);
  });
});
