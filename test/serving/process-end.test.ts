import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as blockedLoop from "./blocked-loop.js";

const { expect } = chai;

const SETTLED_MS = 100;

describe("a host that has broken off its responses, before its process ends", () => {
  // Guards against a request that runs and gets no answer, as it was taken while the last log lines were written.
  it("takes no request that has not arrived whole, and says so", async () => {
    const host = await blockedLoop.open();
    const text = blockedLoop.get("/c/late");
    const send = async (part: string): Promise<void> => {
      host.act([{ name: "a", text: part, leaves: false }]);
      await timers.setTimeout(SETTLED_MS);
    };
    await send(text.slice(0, 20));
    host.breakOff();
    await send(text.slice(20));
    expect(host.arrivals).deep.equal([]);
    expect(host.received.get("a")).match(/^HTTP\/1\.1 503 /);
    await host.close();
  });
});
