import * as net from "node:net";
import * as chai from "chai";
import * as clock from "../../src/host/clock.js";
import * as crashCheck from "../../src/serving/crash-check.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

describe("the check for a crash", () => {
  it("finds a crash right after another connection of the worker broke", async () => {
    const worker = await fixtures.worker((_req, res) => res.end());
    const e = fixtures.endpoint("e", worker.address);
    const check = new crashCheck.CrashCheck(clock.system);
    expect(await check.hasCrashed(e)).equal(false);
    worker.close();
    expect(await check.hasCrashed(e)).equal(true);
  });

  it("finds a crash that comes a little later than the end of the connection", async () => {
    const worker = await fixtures.worker((_req, res) => res.end());
    const check = new crashCheck.CrashCheck(clock.system);
    const found = check.hasCrashed(fixtures.endpoint("e", worker.address));
    await clock.sleep(clock.system, 15);
    worker.close();
    expect(await found).equal(true);
  });

  it("does not take a worker at its limit of connections for crashed", async () => {
    const worker = net.createServer((socket) => socket.resetAndDestroy());
    await new Promise<void>((resolve) => {
      worker.listen(0, "127.0.0.1", resolve);
    });
    const { port } = worker.address() as net.AddressInfo;
    const check = new crashCheck.CrashCheck(clock.system);
    expect(await check.hasCrashed(fixtures.endpoint("e", `127.0.0.1:${port}`))).equal(false);
    worker.close();
  });

  it("finds a crash while an earlier check is under way", async () => {
    const worker = await fixtures.worker((_req, res) => res.end());
    const e = fixtures.endpoint("e", worker.address);
    const check = new crashCheck.CrashCheck(clock.system);
    const before = check.hasCrashed(e);
    // By then the attempt is in the listener's queue, so it connects although the worker is gone.
    await new Promise((resolve) => {
      process.nextTick(resolve);
    });
    worker.close();
    const after = [check.hasCrashed(e), check.hasCrashed(e)];
    expect(await Promise.all([before, ...after])).deep.equal([false, true, true]);
  });

  it("still knows of a crash when another worker listens at the address", async () => {
    const worker = await fixtures.worker((_req, res) => res.end());
    const e = fixtures.endpoint("e", worker.address);
    worker.close();
    const check = new crashCheck.CrashCheck(clock.system);
    expect(await check.hasCrashed(e)).equal(true);
    const successor = net.createServer();
    await new Promise<void>((resolve) => {
      successor.listen(Number(worker.address.split(":")[1]), "127.0.0.1", resolve);
    });
    const again = await check.hasCrashed(e);
    successor.close();
    expect(again).equal(true);
  });
});
