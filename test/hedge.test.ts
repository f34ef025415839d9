import * as chai from "chai";
import * as time from "../bench/measure/time.js";
import * as clock from "../src/host/clock.js";
import * as hedge from "../src/host/hedge.js";

const { expect } = chai;

/** A call in flight, which the test answers or fails. */
interface PendingCall {
  readonly signal: AbortSignal;
  readonly answer: (text: string) => void;
  readonly fail: (why: string) => void;
}

function startHedged(maxCalls = 3) {
  const clk = new time.Time();
  const calls: PendingCall[] = [];
  let overdue = 0;
  const first = hedge.firstAnswer(
    (signal) =>
      new Promise<string>((resolve, reject) => {
        calls.push({
          signal,
          answer: resolve,
          fail: (why) => {
            reject(new Error(why));
          },
        });
      }),
    { overdueMs: 100, maxCalls },
    { clock: clk, onOverdue: () => overdue++ },
  );
  return { clk, calls, first, overdue: () => overdue };
}

describe("a hedged call", () => {
  it("is sent once if it is answered in time", async () => {
    const h = startHedged();
    h.calls[0]?.answer("a");
    expect(await h.first).equal("a");
    await h.clk.runUntil(1000);
    expect(h.calls.length).equal(1);
  });

  it("takes the answer that arrives first, and aborts the other calls", async () => {
    const h = startHedged();
    await h.clk.runUntil(150);
    expect(h.calls.length).equal(2);
    h.calls[1]?.answer("b");
    expect(await h.first).equal("b");
    expect(h.calls[0]?.signal.aborted).equal(true);
    expect(h.overdue()).equal(1);
  });

  it("takes a late answer of the first call after a hedge was sent", async () => {
    const h = startHedged();
    await h.clk.runUntil(250);
    h.calls[0]?.answer("a");
    expect(await h.first).equal("a");
  });

  it("is sent no more often than allowed", async () => {
    const h = startHedged(2);
    await h.clk.runUntil(1000);
    expect(h.calls.length).equal(2);
    h.calls[0]?.answer("a");
    await h.first;
  });

  it("fails at once when the only call in flight fails", async () => {
    const h = startHedged();
    h.calls[0]?.fail("refused");
    expect(await h.first.catch(String)).equal("Error: refused");
  });

  it("does not fail while another call is in flight", async () => {
    const h = startHedged();
    await h.clk.runUntil(150);
    h.calls[0]?.fail("reset");
    h.calls[1]?.answer("b");
    expect(await h.first).equal("b");
  });
});

it("hedged calls of several steps each do not make Node warn of too many listeners", async () => {
  const warnings: Error[] = [];
  const onWarning = (w: Error): void => void warnings.push(w);
  process.on("warning", onWarning);
  const clk = new time.Time();
  const first = hedge.firstAnswer(
    async (signal) => {
      const steps = Array.from({ length: 4 }, () => clock.sleep(clk, 250, signal));
      await Promise.all(steps);
    },
    { overdueMs: 100, maxCalls: 3 },
    { clock: clk, onOverdue: () => undefined },
  );
  await clk.runUntil(300);
  await first;
  await clock.sleep(clock.system, 1);
  process.off("warning", onWarning);
  expect(warnings).deep.equal([]);
});
