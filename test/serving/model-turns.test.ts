import * as chai from "chai";
import * as virtual from "../../bench/measure/time.js";
import * as structuredLog from "../../src/host/structured-log.js";
import * as modelTurns from "../../src/serving/model-turns.js";

const { expect } = chai;

describe("a turn to load a base model", () => {
  it("is not claimed while turns may be held that the store has lost", async () => {
    const time = new virtual.Time();
    let claims = 0;
    const turns = new modelTurns.ModelTurns({
      clock: time,
      log: structuredLog.silent,
      claim: () => {
        claims++;
        return Promise.resolve(true);
      },
      random: () => 0,
    });
    turns.storeRestored();
    const denied = turns.take("llm");
    await time.runUntil(modelTurns.TURN_LEASE_MS);
    expect(await denied).equal(false);
    expect(claims).equal(0);
    expect(await turns.take("llm")).equal(true);
  });
});
