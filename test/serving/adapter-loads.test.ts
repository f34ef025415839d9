import * as chai from "chai";
import * as managedEngines from "./managed-engines.js";

const { expect } = chai;

/** Adapters that are asked for at once; the configuration allows one base model a second. */
const BURST = 6;

describe("loads of adapters", () => {
  afterEach(managedEngines.endAll);

  it("are not paced by the rate at which base models may be loaded", async () => {
    const s = await managedEngines.start("i1", BURST);
    const seats = Array.from({ length: BURST }, (_, i) =>
      s.link.ask(managedEngines.seatRequest(`a${i}`)),
    );
    for (const seat of seats) expect(await seat.answer).include({ kind: "grant" });
    expect(s.engine.peakHeld).equal(BURST);
    expect(s.turns()).equal(0);
  });
});
