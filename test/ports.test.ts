import * as net from "node:net";
import * as chai from "chai";
import * as ports from "../bench/platform/ports.js";

const { expect } = chai;

const DRAWS = 200;
/** Lowest ephemeral port by Linux's default. The system gives these to sockets that bind to port 0. */
const EPHEMERAL = 32_768;

describe("findFree", () => {
  it("returns each port once, and none of the ephemeral range", async () => {
    const drawn: number[] = [];
    for (let i = 0; i < DRAWS; i++) drawn.push(await ports.findFree());
    expect(new Set(drawn).size).equal(DRAWS);
    expect(Math.max(...drawn)).below(EPHEMERAL);
  });

  it("skips a port that something listens on", async () => {
    const taken = (await ports.findFree()) + 1;
    const server = net.createServer();
    await new Promise<void>((resolve) => {
      server.listen(taken, "127.0.0.1", resolve);
    });
    expect(await ports.findFree()).not.equal(taken);
    await new Promise((resolve) => server.close(resolve));
  });
});
