import * as chai from "chai";
import * as managedEngines from "./managed-engines.js";
import * as links from "./links.js";
import * as fakeEndpointDaemon from "./fake-endpoint-daemon.js";

const { expect } = chai;

/** Cleanup functions of the current test, run even when it fails. */
const cleanups: (() => void)[] = [];

/** A connection to an endpoint daemon that answers as the test tells it to. */
async function connected() {
  const daemon = await fakeEndpointDaemon.open(
    fakeEndpointDaemon.state("i1"),
    fakeEndpointDaemon.holdings(),
  );
  const { made } = links.open(daemon.address, [{ kind: "attach", hosts: 1, totals: [] }]);
  cleanups.push(() => {
    made.close();
    daemon.close();
  });
  await managedEngines.eventually(() => made.state !== undefined);
  return { daemon, made };
}

describe("a connection to the owner of a cap", () => {
  afterEach(() => {
    for (const cleanup of cleanups.splice(0)) cleanup();
  });

  it("attaches its caps before anything else is sent", async () => {
    const { daemon } = await connected();
    await managedEngines.eventually(() => daemon.heard.length >= 2);
    expect(daemon.heard).deep.equal(["hello", "attach"]);
  });

  it("matches each reply to its draw", async () => {
    const { daemon, made } = await connected();
    const first = made.draw("news", { wants: [10], patienceMs: 0 });
    const second = made.draw("news", { wants: [20], patienceMs: 0 });
    await managedEngines.eventually(() => daemon.heard.filter((k) => k === "draw").length === 2);
    daemon.tell(
      { kind: "drawn", draw: 1, delaysMs: [], waitMs: 70 },
      { kind: "drawn", draw: 0, delaysMs: [0], waitMs: 0 },
    );
    expect((await first)?.delaysMs).deep.equal([0]);
    expect(await second).deep.include({ delaysMs: [], waitMs: 70 });
  });

  it("resolves a draw without a reply if the owner is silent, which may still count this host", async () => {
    const { made } = await connected();
    expect(await made.draw("news", { wants: [10], patienceMs: 0 })).equal(undefined);
    expect(made.isForgotten).equal(false);
    expect(made.state).equal(undefined);
  });

  /*
   * A connection is cut in one direction, so that an owner reports its engine's state and receives
   * nothing. A draw is then waited for until the connection is whole again, unless it has a timeout
   * of its own: a caller got its 429 after 2,255 ms instead of 1,539 ms.
   */
  it("resolves a draw without a reply if the owner sends other messages but does not reply", async () => {
    const { daemon, made } = await connected();
    const talking = setInterval(() => {
      daemon.tell(fakeEndpointDaemon.state("i1"));
    }, 50);
    cleanups.push(() => {
      clearInterval(talking);
    });
    const askedAt = performance.now();
    expect(await made.draw("news", { wants: [10], patienceMs: 0 })).equal(undefined);
    expect(performance.now() - askedAt).below(1000);
  });

  it("resolves a draw without a reply if the owner ends, which then no longer counts this host", async () => {
    const { daemon, made } = await connected();
    const asked = made.draw("news", { wants: [10], patienceMs: 0 });
    await managedEngines.eventually(() => daemon.heard.includes("draw"));
    daemon.close();
    expect(await asked).equal(undefined);
    expect(made.isForgotten).equal(true);
    expect(await made.draw("news", { wants: [10], patienceMs: 0 })).equal(undefined);
  });
});
