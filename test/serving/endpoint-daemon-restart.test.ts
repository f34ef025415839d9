import * as chai from "chai";
import * as managedEngines from "./managed-engines.js";
import * as links from "./links.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

const { expect } = chai;

/** Closes the servers, connections and timers of the current test, also when it fails. */
const cleanups: (() => void)[] = [];

/** An entry daemon's connection to a fake endpoint daemon, and the engines that it reported as lost. */
async function connected() {
  const daemon = await fakeEndpointDaemon.open(
    fakeEndpointDaemon.state("i1"),
    fakeEndpointDaemon.holdings(),
  );
  const { made, lost } = links.open(daemon.address);
  cleanups.push(() => {
    made.close();
    daemon.close();
  });
  await managedEngines.eventually(() => made.state?.instance === "i1");
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
    daemon.restart(fakeEndpointDaemon.state(""));
    await managedEngines.eventually(() => made.state?.instance === "");
    daemon.tell(fakeEndpointDaemon.state("i1"));
    await managedEngines.eventually(() => made.state?.instance === "i1");
    expect(lost).deep.equal([]);
  });

  it("causes its old engine to count as lost when it reports another one", async () => {
    const { daemon, made, lost } = await connected();
    daemon.restart(fakeEndpointDaemon.state(""));
    await managedEngines.eventually(() => made.state?.instance === "");
    daemon.tell(fakeEndpointDaemon.state("i2"));
    await managedEngines.eventually(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });

  it("causes its engine to count as lost when it does not find it in time", async () => {
    const { daemon, lost } = await connected();
    const sending = setInterval(() => {
      daemon.tell(fakeEndpointDaemon.state(""));
    }, 100);
    cleanups.push(() => {
      clearInterval(sending);
    });
    daemon.restart(fakeEndpointDaemon.state(""));
    await managedEngines.eventually(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });

  it("causes its engine to count as lost at once when it had reported it before", async () => {
    const { daemon, lost } = await connected();
    daemon.tell(fakeEndpointDaemon.state(""));
    await managedEngines.eventually(() => lost.length > 0);
    expect(lost).deep.equal(["i1"]);
  });
});
