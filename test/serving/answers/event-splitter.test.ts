import * as chai from "chai";
import * as fc from "fast-check";
import * as eventSplitter from "../../../src/serving/answers/event-splitter.js";

const { expect } = chai;

/** Pushes `bytes` in chunks of `chunkBytes`; returns the texts of the events, and of what is left. */
function split(bytes: Buffer, chunkBytes: number): readonly string[] {
  const splitter = new eventSplitter.EventSplitter();
  const texts: string[] = [];
  for (let at = 0; at < bytes.length; at += chunkBytes) {
    const events = splitter.push(bytes.subarray(at, at + chunkBytes));
    for (const e of events) texts.push(e.bytes.toString());
  }
  return [...texts, splitter.remainder().toString()];
}

describe("splitting a stream", () => {
  it("finds the same events however it is cut, in LF and CRLF lines with comments and blank lines", () => {
    const line = fc.constantFrom("", ": c", "id: 7", "data: x", "data:");
    const lines = fc.array(fc.tuple(line, fc.constantFrom("\n", "\r\n")), { maxLength: 20 });
    fc.assert(
      fc.property(lines, fc.integer({ min: 1, max: 9 }), (list, chunkBytes) => {
        const bytes = Buffer.from(list.map((l) => l.join("")).join(""));
        expect(split(bytes, chunkBytes)).deep.equal(split(bytes, bytes.length + 1));
      }),
    );
  });

  it("finds the same events however it is cut, in lines that end with CR alone", () => {
    const line = fc.constantFrom("", ": c", "id: 7", "data: x", "data:");
    fc.assert(
      fc.property(fc.array(line), fc.integer({ min: 1, max: 9 }), (lines, chunkBytes) => {
        const bytes = Buffer.from(lines.map((l) => `${l}\r`).join(""));
        expect(split(bytes, chunkBytes)).deep.equal(split(bytes, bytes.length + 1));
      }),
    );
    expect(split(Buffer.from("id: 7\rdata: x\r\r"), 99)).deep.equal(["id: 7\rdata: x\r\r", ""]);
  });

  for (const lineEnd of ["\n", "\r\n"]) {
    it(`takes time in proportion to an event without end of ${lineEnd.length}-byte line ends`, () => {
      const bytes = Buffer.from(`data: xxxxxxxxxxxxxx${lineEnd}`.repeat(12_000));
      expect(split(bytes, 1).join("").length).equal(bytes.length);
    }).timeout(3000);
  }
});
