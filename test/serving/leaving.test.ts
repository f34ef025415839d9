import * as chai from "chai";
import * as waitingStream from "./waiting-stream.js";

const { expect } = chai;

describe("a leaving endpoint", () => {
  afterEach(waitingStream.endAll);

  /*
   * What users saw: a request was sent to an engine that had said that it leaves. A request waits for a seat;
   * the engine says that it leaves, and its endpoint daemon, which goes with it, falls silent. A request is
   * sent without a seat to an engine that held its adapter when its daemon was last heard, and there alone
   * nobody asked whether the engine leaves meanwhile. Evidence: this test, in which the engine got it.
   */
  it("gets no request that waited for a seat while its daemon fell silent", async () => {
    const waits = await waitingStream.begin({ route: { targetMs: 1000, timeoutMs: 1500 } });
    waits.change({ kind: "endpoint", endpoint: { ...waits.endpoint, leaving: true } });
    const { runs, seen } = await waits.over();
    expect(runs).equal(0);
    expect(seen).deep.equal(["refuse 503"]);
  });
});
