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
      queue.push(item, itemClass);
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
  it("lets none wait while those before it are few, whatever comes later", () => {
    const itemClass = fc.integer({ min: 0, max: CLASSES - 1 });
    fc.assert(
      fc.property(
        fc.array(itemClass, { maxLength: 30 }),
        itemClass,
        itemClass,
        (before, c, later) => {
          const queue = new turnQueue.TurnQueue<string>(CLASSES);
          for (const other of before) queue.push("before", other);
          queue.push("it", c);
          const most = turnQueue.OLDEST_EVERY * (before.length + 1);
          for (let n = 0; n < most; n++) {
            if (queue.shift() === "it") return true;
            queue.push("later", later);
          }
          return false;
        },
      ),
    );
  });

  // Guards against a caller that waits a whole round for each part of its body.
  it("gives most turns to one of the lowest class, however many others have waited longer", () => {
    const queue = new turnQueue.TurnQueue<string>(CLASSES);
    for (let n = 0; n < 500; n++) queue.push("ahead", 1);
    queue.push("calm", 0);
    const SLICES = 12;
    let left = SLICES;
    let shifts = 0;
    for (; left > 0; shifts++) {
      const item = queue.shift() ?? "";
      if (item === "calm") left--;
      queue.push(item, item === "calm" ? 0 : 1);
    }
    expect(shifts).most(
      Math.ceil((SLICES * turnQueue.OLDEST_EVERY) / (turnQueue.OLDEST_EVERY - 1)),
    );
  });
});
