import * as chai from "chai";
import * as engines from "./engines.js";
import * as links from "./links.js";
import * as telling from "./telling.js";

const { expect } = chai;

/** Closes the servers, connections and timers of the current test, also when it fails. */
const cleanups: (() => void)[] = [];

/** An entry daemon's connection to a fake endpoint daemon, and the engines that it reported as lost. */
async function connected() {
  const daemon = await telling.open(telling.state("i1"), telling.holdings());
  const { made, lost } = links.open(daemon.address);
  cleanups.push(() => {
    made.close();
    daemon.close();
  });
  await engines.until(() => made.state?.instance === "i1");
  return { daemon, made, lost };
}

describe("an endpoint daemon that restarts", () => {
  afterEach(() => {
    for (const cleanup of cleanups.splice(0)) cleanup();
  });

  /*
   * Guards against treating a running engine as lost. An endpoint daemon is killed and restarts while its worker keeps
   * running. It reports no engine until it has found it, and it can't find it while the store is down. If the engine
   * counted as lost in this time, the requests that run there would be aborted.
   */
  it("does not cause its engine to count as lost before it has found it", async () => {
    const { daemon, made, lost } = await connected();
    daemon.restart(telling.state(""));
    await engines.until(() => made.state?.instance === "");
    daemon.tell(telling.state("i1"));
    await engines.until(() => made.state?.instance === "i1");
    expect(lost).deep.equal([]);
  });

  it("causes its old engine to count as lost when it reports another one", async () => {
    const { daemon, made, lost } = await connected();
    daemon.restart(telling.state(""));
    await engines.until(() => made.state?.instance === "");
    daemon.tell(telling.state("i2"));
    await engines.until(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });

  it("causes its engine to count as lost when it does not find it in time", async () => {
    const { daemon, lost } = await connected();
    const sending = setInterval(() => {
      daemon.tell(telling.state(""));
    }, 100);
    cleanups.push(() => {
      clearInterval(sending);
    });
    daemon.restart(telling.state(""));
    await engines.until(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });

  it("causes its engine to count as lost at once when it had reported it before", async () => {
    const { daemon, lost } = await connected();
    daemon.tell(telling.state(""));
    await engines.until(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });
});
