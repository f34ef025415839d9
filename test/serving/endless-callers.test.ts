import * as net from "node:net";
import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as callerMeter from "../../src/serving/buffering/caller-meter.js";
import * as earlyListener from "../../src/serving/early-listener.js";

const { expect } = chai;

const HEAD = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
/** What a caller sends once, and then without end. */
const CALLERS: Readonly<Record<string, readonly [string, string]>> = {
  "empty lines": ["", "\r\n"],
  "spaces after the method": ["GET", " "],
  "the size of a chunk": [HEAD, "0"],
  "small chunks with extensions": [HEAD, `1;${"x".repeat(900)}\r\na\r\n`],
};
const BODY_BYTES = 100_000;
/** Milliseconds within which a connection must be closed. */
const CLOSED_MS = 1000;

describe("a caller that sends without end", () => {
  async function openServer() {
    const listener = await earlyListener.open("127.0.0.1:0");
    const meter = new callerMeter.CallerMeter({ clock: clock.system, log: structuredLog.silent });
    meter.configure(BODY_BYTES);
    listener.server.on("connection", (socket) => {
      meter.watch(socket);
    });
    listener.setHandler((req, res) => {
      meter.recordRequest(req.socket);
      req.resume().once("end", () => res.end("ok"));
    });
    const { port } = listener.server.address() as net.AddressInfo;
    return { port, server: listener.server };
  }

  for (const [name, [first, then]] of Object.entries(CALLERS)) {
    it(`has its connection closed, when it repeats ${name}`, async () => {
      const { port, server } = await openServer();
      const block = Buffer.from(then.repeat(65_536 / then.length));
      const socket = net.connect(port, "127.0.0.1");
      const flood = (): void => {
        while (!socket.destroyed && socket.write(block));
      };
      socket.on("drain", flood).on("error", () => undefined);
      const closed = await new Promise<boolean>((resolve) => {
        socket.once("close", () => {
          resolve(true);
        });
        setTimeout(resolve, CLOSED_MS, false);
        socket.write(first);
        flood();
      });
      socket.destroy();
      server.closeAllConnections();
      server.close();
      expect(closed).equal(true);
    });
  }

  it("is told from one that sends many requests, or a body in chunks of a byte, on one connection", async () => {
    const { port, server } = await openServer();
    const socket = net.connect(port, "127.0.0.1");
    let answers = 0;
    const request = Buffer.from(`${HEAD}${"1\r\nx\r\n".repeat(BODY_BYTES)}0\r\n\r\n`);
    const served = new Promise<void>((resolve) => {
      socket.on("data", () => {
        if (++answers === 20) resolve();
        else socket.write(request);
      });
      socket.once("close", resolve);
    });
    socket.write(request);
    await served;
    socket.destroy();
    server.closeAllConnections();
    server.close();
    expect(answers).equal(20);
  }).timeout(40_000);
});
