import * as chai from "chai";
import * as fc from "fast-check";
import * as slices from "../../src/host/reading/slices.js";

const { expect } = chai;

/** Cuts `bytes` as a connection would that is within no body. */
function cut(bytes: Buffer, mostBytes: number): readonly Buffer[] {
  const out: Buffer[] = [];
  for (let rest = bytes; rest.length > 0;) {
    const size = slices.sliceBytes(rest, 0, mostBytes);
    out.push(rest.subarray(0, size));
    rest = rest.subarray(size);
  }
  return out;
}

const request = fc
  .array(fc.constantFrom("a: b\r\n", "long-name: with a value\r\n", "1:\r\n"))
  .map((fields) => `GET / HTTP/1.1\r\n${fields.join("")}\r\n`);

describe("slices of what a connection has brought", () => {
  it("join to the same bytes, and none is empty or too large", () => {
    const bytes = fc.string({ unit: fc.constantFrom("\r", "\n", "a"), maxLength: 300 });
    fc.assert(
      fc.property(bytes, fc.integer({ min: 4, max: 50 }), (text, mostBytes) => {
        const all = cut(Buffer.from(text), mostBytes);
        return (
          Buffer.concat(all).toString() === text &&
          all.every((s) => s.length > 0 && s.length <= mostBytes)
        );
      }),
    );
  });

  // Guards against thousands of requests that are parsed in one go.
  it("hold one head at most", () => {
    fc.assert(
      fc.property(fc.array(request), fc.integer({ min: 8, max: 200 }), (heads, mostBytes) => {
        const all = cut(Buffer.from(heads.join("")), mostBytes);
        // A slice may begin with the last bytes of the head before.
        const ends = (s: Buffer): number =>
          s
            .toString()
            .replace(/^[\r\n]+/, "")
            .split("\r\n\r\n").length - 1;
        return all.every((s) => ends(s) <= 1);
      }),
    );
  });

  it("are not cut within a body of known length", () => {
    const body = Buffer.from("\r\n\r\nx".repeat(5000));
    expect(slices.sliceBytes(body, 20_000, slices.SLICE_BYTES)).equal(20_000);
    expect(slices.sliceBytes(body, 90_000, slices.SLICE_BYTES)).equal(body.length);
  });

  it("are not as small as the empty lines before a request", () => {
    expect(slices.sliceBytes(Buffer.from("\r\n".repeat(9000)), 0, 1024)).equal(1024);
  });
});
