import * as chai from "chai";
import * as time from "../bench/measure/time.js";
import * as hedge from "../src/host/hedge.js";

const { expect } = chai;

/** One call that was made, answered by the test's hand. */
interface Made {
  readonly signal: AbortSignal;
  readonly answer: (text: string) => void;
  readonly fail: (why: string) => void;
}

function begin(most = 3) {
  const clk = new time.Time();
  const made: Made[] = [];
  let overdue = 0;
  const first = hedge.first(
    (signal) =>
      new Promise<string>((resolve, reject) => {
        made.push({
          signal,
          answer: resolve,
          fail: (why) => {
            reject(new Error(why));
          },
        });
      }),
    { overdueMs: 100, most },
    { clock: clk, overdue: () => overdue++ },
  );
  return { clk, made, first, overdue: () => overdue };
}

describe("hedged calls", () => {
  it("make one call where it is answered in time", async () => {
    const h = begin();
    h.made[0]?.answer("a");
    expect(await h.first).equal("a");
    await h.clk.runUntil(1000);
    expect(h.made.length).equal(1);
  });

  it("take the answer that comes first, and abort the other calls", async () => {
    const h = begin();
    await h.clk.runUntil(150);
    expect(h.made.length).equal(2);
    h.made[1]?.answer("b");
    expect(await h.first).equal("b");
    expect(h.made[0]?.signal.aborted).equal(true);
    expect(h.overdue()).equal(1);
  });

  it("take a late answer of the first call, too", async () => {
    const h = begin();
    await h.clk.runUntil(250);
    h.made[0]?.answer("a");
    expect(await h.first).equal("a");
  });

  it("are no more than allowed", async () => {
    const h = begin(2);
    await h.clk.runUntil(1000);
    expect(h.made.length).equal(2);
    h.made[0]?.answer("a");
    await h.first;
  });

  it("fail at once when the only call under way fails", async () => {
    const h = begin();
    h.made[0]?.fail("refused");
    expect(await h.first.catch(String)).equal("Error: refused");
  });

  it("go on while another call is under way", async () => {
    const h = begin();
    await h.clk.runUntil(150);
    h.made[0]?.fail("reset");
    h.made[1]?.answer("b");
    expect(await h.first).equal("b");
  });
});
