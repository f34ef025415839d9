import * as chai from "chai";
import * as rawCaller from "../../bench/platform/raw-caller.js";
import * as callersSite from "./callers-site.js";

const { expect } = chai;

const ID = "r1";
const FRAMINGS = ["content-length: 5\r\n", "transfer-encoding: chunked\r\n", ""] as const;

describe("a caller of HTTP/1.0 whose worker stops within the head of its answer", () => {
  // Guards against an answer that looks whole to a caller for whom any close is an end.
  it("gets a failure", async () => {
    let left = "";
    const host = await callersSite.site(undefined, undefined, (socket) => {
      socket.end(left);
    });
    const address = `127.0.0.1:${host.port}`;
    const headers = { host: "a.example", "x-sumacfield-attempt-id": ID };
    for (const framing of FRAMINGS) {
      const signed = `x-sumacfield-attempt-id: ${ID}\r\nx-sumacfield-server-signature: s\r\n`;
      const head = `HTTP/1.1 200 OK\r\n${signed}${framing}\r\n`;
      for (let cut = 1; cut <= head.length; cut++) {
        left = head.slice(0, cut);
        const version = "1.0";
        const got = await rawCaller.send(address, { version, path: "/open/x", headers, body: "" });
        expect([framing, cut, got.status]).deep.equal([framing, cut, 502]);
      }
    }
    await host.stop();
  }).timeout(60_000);
});
