import * as chai from "chai";
import * as fc from "fast-check";
import * as chooseConnection from "../../../src/serving/connections/choose-connection.js";

const { expect } = chai;

const LIMIT = 3;
const idle = (number: number): chooseConnection.Candidate => ({
  number,
  isConnected: true,
  isBusy: false,
});
const busy = (number: number): chooseConnection.Candidate => ({ ...idle(number), isBusy: true });
const closed = (number: number): chooseConnection.Candidate => ({
  ...idle(number),
  isConnected: false,
});

const choose = (list: readonly chooseConnection.Candidate[], ...carried: readonly number[]) =>
  chooseConnection.choose(list, LIMIT, new Set(carried));

describe("the choice of a connection", () => {
  it("prefers an open connection that is free", () => {
    expect(choose([busy(1), closed(2), idle(3)])).deep.equal({ kind: "use", index: 2 });
  });

  it("passes over a connection that carried the request before", () => {
    expect(choose([idle(1), idle(2)], 1)).deep.equal({ kind: "use", index: 1 });
    expect(choose([idle(1), closed(2)], 1)).deep.equal({ kind: "use", index: 1 });
    expect(choose([idle(1)], 1)).deep.equal({ kind: "open" });
  });

  it("replaces such a connection where no other may be opened", () => {
    expect(choose([busy(1), idle(2), busy(3)], 2)).deep.equal({ kind: "replace", index: 1 });
  });

  it("waits while all connections are busy", () => {
    expect(choose([busy(1), busy(2), busy(3)])).deep.equal({ kind: "wait" });
  });

  it("uses no connection twice for a request, and opens none beyond the limit", () => {
    const candidate = fc.record({
      number: fc.nat(5),
      isConnected: fc.boolean(),
      isBusy: fc.boolean(),
    });
    const list = fc.array(candidate, { maxLength: LIMIT });
    fc.assert(
      fc.property(list, fc.uniqueArray(fc.nat(5)), (candidates, carried) => {
        const choice = choose(candidates, ...carried);
        if (choice.kind === "open") return candidates.length < LIMIT;
        if (choice.kind === "wait")
          return candidates.length === LIMIT && candidates.every((c) => c.isBusy);
        const chosen = candidates[choice.index];
        if (!chosen || chosen.isBusy) return false;
        return choice.kind === "replace" || !chosen.isConnected || !carried.includes(chosen.number);
      }),
    );
  });
});
