import * as chai from "chai";
import knownRed from "./known-red.cjs";

const { expect } = chai;

describe("known red", () => {
  it("reads a title, a cause and an issue from each line", () => {
    const known = knownRed.parse("# why\n\na b | frozen peer | 8\n");
    expect([...known.keys()]).deep.equal(["a b"]);
  });

  it("rejects a line without a cause, and a list that is too long", () => {
    expect(() => knownRed.parse("a b | | 8")).throw("test | cause | issue");
    expect(() => knownRed.parse("a | b | 8\n".repeat(4))).throw("over 3 lines");
  });

  it("reports failures that are not listed, and listed tests that pass", () => {
    const known = knownRed.parse("a | b | 8\nc | d | 8");
    expect(knownRed.judge(["a", "x"], known)).deep.equal({ unknown: ["x"], mended: ["c"] });
    expect(knownRed.judge(["a", "c"], known)).deep.equal({ unknown: [], mended: [] });
  });
});
