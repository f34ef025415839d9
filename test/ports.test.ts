import * as net from "node:net";
import * as chai from "chai";
import * as ports from "../bench/platform/ports.js";

const { expect } = chai;

const DRAWS = 200;
/** The first port that the system gives to a socket which names none, on the machines at hand. */
const EPHEMERAL = 32_768;

describe("a free port", () => {
  it("is given out once, and never one that the system gives to others", async () => {
    const drawn: number[] = [];
    for (let i = 0; i < DRAWS; i++) drawn.push(await ports.free());
    expect(new Set(drawn).size).equal(DRAWS);
    expect(Math.max(...drawn)).below(EPHEMERAL);
  });

  it("is passed over while somebody listens on it", async () => {
    const taken = (await ports.free()) + 1;
    const server = net.createServer();
    await new Promise<void>((resolve) => {
      server.listen(taken, "127.0.0.1", resolve);
    });
    expect(await ports.free()).not.equal(taken);
    await new Promise((resolve) => server.close(resolve));
  });
});
