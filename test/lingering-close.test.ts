import type * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as lingeringClose from "../src/host/lingering-close.js";
import * as earlyListener from "../src/serving/early-listener.js";

const { expect } = chai;

const REQUEST = "GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";
const SETTLE_MS = 50;

/** A callers' server with this handler, and what a raw caller saw that sent `bytes`. */
async function open(bytes: string, handler: http.RequestListener) {
  const listener = await earlyListener.open("127.0.0.1:0");
  listener.setHandler(handler);
  const { port } = listener.server.address() as net.AddressInfo;
  const caller = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  const seen = { text: "", isEnded: false, error: "" };
  caller.on("data", (part: Buffer) => (seen.text += part.toString()));
  caller.on("end", () => (seen.isEnded = true));
  caller.on("error", (err) => (seen.error = err.message));
  caller.write(bytes);
  await timers.setTimeout(SETTLE_MS);
  return {
    caller,
    seen,
    stop: (): void => {
      caller.destroy();
      listener.server.close();
      listener.server.closeAllConnections();
    },
  };
}

const closing: http.RequestListener = (_req, res) => {
  res.writeHead(200, { connection: "close" }).end("whole");
};

/** Sends more requests, the second and later ones after a reset by the first would have arrived. */
async function sendOn(caller: net.Socket): Promise<void> {
  for (let i = 0; i < 5; i++) {
    caller.write(REQUEST);
    await timers.setTimeout(SETTLE_MS / 5);
  }
}

describe("a connection whose last response has been sent", () => {
  const RESPONSES = {
    "a response that announced the close": REQUEST,
    "the refusal of an unreadable request": "no request\r\n\r\n",
  };
  for (const [what, bytes] of Object.entries(RESPONSES)) {
    // Guards against a reset by which a caller loses the last response, because more of its requests cross the close.
    it(`is not reset by what arrives after ${what}`, async () => {
      const { caller, seen, stop } = await open(bytes, closing);
      expect(seen).include({ isEnded: true, error: "" });
      await sendOn(caller);
      stop();
      expect(seen.error).equal("");
      expect(seen.text.split("HTTP/1.1").length).equal(2);
    });
  }

  it("is closed as soon as its caller has ended its side", async () => {
    const { caller, stop } = await open(REQUEST, closing);
    caller.end();
    await timers.setTimeout(SETTLE_MS);
    stop();
    expect(caller.closed).equal(true);
  });

  it("is closed in the end though its caller goes on", async () => {
    const { caller, seen, stop } = await open(REQUEST, closing);
    await timers.setTimeout(lingeringClose.LINGER_MS);
    await sendOn(caller);
    stop();
    expect(seen.error).match(/ECONNRESET|EPIPE/);
  });
});
