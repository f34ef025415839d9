import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as undici from "undici";
import * as journals from "../../bench/platform/journal.js";
import * as workers from "../../bench/platform/worker.js";

const { expect } = chai;

const LOAD_MS = 100;

describe("the stand-in engine", () => {
  const journal = journals.createJournal();
  const engine = new workers.Engine("llm", "i-1", journal, 1);

  const order = (operation: string, version: number): Promise<undici.Dispatcher.ResponseData> =>
    undici.request(`http://${engine.address}/-/order`, {
      method: "POST",
      headers: { "x-sumacfield-expect-instance": "i-1" },
      body: JSON.stringify({ operation, adapter: "a1", version, holder: "h", fencingToken: 1 }),
    });

  /** Runs one stream on the adapter while it is replaced by version 2. */
  async function replaceInUse(): Promise<string> {
    await order("model_load", 1);
    await timers.setTimeout(LOAD_MS);
    const stream = undici.request(`http://${engine.address}/s/x`, {
      method: "POST",
      headers: {
        "x-sumacfield-attempt-id": "r1",
        "x-sumacfield-model": "m/a1",
        "x-sumacfield-deadline-ms": "5000",
      },
    });
    await timers.setTimeout(LOAD_MS / 2);
    await order("model_load", 2);
    return (await stream).body.text();
  }

  before(() => engine.start());
  after(() => {
    engine.stop();
  });

  it("unloads an adapter that was replaced while in use, and begins late on the version held at the arrival", async () => {
    engine.beginMs = LOAD_MS;
    expect(await replaceInUse()).to.contain("a1@1");
    await order("model_unload", 0);
    expect(engine.adapters.size).to.equal(0);
  });
});
