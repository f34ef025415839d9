import * as chai from "chai";
import * as fc from "fast-check";
import * as turnQueue from "../../src/host/reading/turn-queue.js";

const { expect } = chai;

const CLASSES = 4;

describe("a queue of connections that wait", () => {
  it("lets those of a lower class go first, and those of one class in order", () => {
    const queue = new turnQueue.TurnQueue<string>(CLASSES);
    for (const [item, itemClass] of [
      ["a3", 3],
      ["a1", 1],
      ["b1", 1],
      ["a0", 0],
    ] as const)
      queue.push(item, itemClass, 5);
    expect(queue.size).equal(4);
    expect([1, 2, 3, 4, 5].map(() => queue.shift())).deep.equal([
      "a0",
      "a1",
      "b1",
      "a3",
      undefined,
    ]);
  });

  // Guards against a connection that waits for as long as others send ahead.
  it("lets none wait for more of those that come later than a delay for each class", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: CLASSES - 1 }),
        fc.array(fc.tuple(fc.integer({ min: 0, max: CLASSES - 1 }), fc.nat(100)), { minLength: 1 }),
        (itemClass, later) => {
          const queue = new turnQueue.TurnQueue<number>(CLASSES);
          queue.push(0, itemClass, 0);
          let now = 0;
          for (const [otherClass, afterMs] of later) {
            now += afterMs;
            queue.push(now, otherClass, now);
          }
          const before: number[] = [];
          for (let at = queue.shift(); at !== undefined && at !== 0; at = queue.shift())
            before.push(at);
          return before.every((at) => at <= itemClass * turnQueue.CLASS_DELAY_MS);
        },
      ),
    );
  });
});
