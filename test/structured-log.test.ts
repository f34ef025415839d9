import * as chai from "chai";
import * as clock from "../src/host/clock.js";
import * as lineSink from "../src/host/line-sink.js";
import * as structuredLog from "../src/host/structured-log.js";

const { expect } = chai;

const written: string[] = [];
const sink = new lineSink.LineSink(
  (text, done) => {
    written.push(text);
    done(null);
  },
  () => "lines were dropped",
);
const clk = { ...clock.system, now: () => new Date(0) };
const log = structuredLog.open("e1", clk, sink)("request");

describe("the structured log", () => {
  it("writes the fixed fields first, and leaves out those that are undefined", () => {
    log.info("Done.", { a: 1, b: undefined, c: "x", d: ["y"] });
    sink.flush();
    expect(written).deep.equal([
      '{"at":"1970-01-01T00:00:00.000Z","level":"info","daemon":"e1","part":"request","msg":"Done.","a":1,"c":"x","d":["y"]}\n',
    ]);
  });

  /* Guards against a line for each request that takes a tenth of the request's processor time. */
  it("takes a few times as long as JSON for a line with many fields", () => {
    const fieldsOf = (n: number): structuredLog.Fields =>
      Object.fromEntries(
        Array.from({ length: 28 }, (_, i) => [`field${i}`, i % 2 ? n : undefined]),
      );
    const list = Array.from({ length: 3000 }, (_, i) => fieldsOf(i));
    const usedBy = (run: (f: structuredLog.Fields) => void): number => {
      const before = process.cpuUsage();
      list.forEach(run);
      return process.cpuUsage(before).user;
    };
    const ratios = Array.from({ length: 5 }, () => {
      const plain = usedBy((f) => JSON.stringify(f));
      return (
        usedBy((f) => {
          log.info("A request has ended.", f);
        }) / plain
      );
    });
    expect(ratios.sort((a, b) => a - b)[2]).below(10);
  });
});
