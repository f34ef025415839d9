import * as chai from "chai";
import * as time from "../../bench/measure/time.js";
import * as announcer from "../../src/serving/announcer.js";
import type * as seat from "../../src/serving/seat.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** An announcer that entry daemons are connected to, and how many states each of them heard. */
function site(entries: number) {
  const clk = new time.Time();
  let resident: readonly string[] = [];
  let seats = 0;
  const news = new announcer.Announcer(
    clk,
    (silenceMs): seat.State => ({
      ...fixtures.STATE,
      instance: "i1",
      seats,
      entries,
      silenceMs,
    }),
    () => ({ kind: "holdings", models: ["m"], resident, reach: 0 }),
    () => [],
  );
  const heard = Array.from({ length: entries }, () => {
    return { states: [] as number[], holdings: 0, gone: [] as string[] };
  });
  const clients = heard.map((h, i): announcer.Client => {
    return {
      host: `e${i}`,
      send: () => undefined,
      sendLine: (text) => {
        for (const line of text.trimEnd().split("\n")) {
          if (line.includes('"state"')) h.states.push(clk.mono());
          else {
            h.holdings++;
            h.gone.push(...(JSON.parse(line) as seat.Holdings).gone);
          }
        }
      },
    };
  });
  for (const c of clients) news.join(c);
  /** Changes something every 10 ms until `ms`. */
  const busy = async (ms: number): Promise<void> => {
    for (let at = clk.mono(); at < ms; at += 10)
      clk.after(at - clk.mono(), () => {
        seats++;
        news.changed();
      });
    await clk.runUntil(ms);
  };
  const leave = (key: string): void => {
    resident = resident.filter((k) => k !== key);
    news.departed(key);
    news.changed();
  };
  const hold = (key: string): void => {
    resident = [...resident, key];
    news.changed();
  };
  return { clk, news, clients, heard, busy, hold, leave };
}

const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);

describe("announcer", () => {
  it("sends no more states for many entry daemons than for few", async () => {
    for (const entries of [5, 30, 120]) {
      const s = site(entries);
      await s.busy(4000);
      expect(sum(s.heard.map((h) => h.states.length)), `${entries}`).below(4 * 110 + 2 * entries);
      expect(Math.min(...s.heard.map((h) => h.states.length))).above(1);
    }
  });

  it("tells who asked in the next round, however many there are", async () => {
    const s = site(120);
    await s.busy(1000);
    const [first] = s.clients;
    const before = s.heard[0]?.states.length ?? 0;
    if (first) s.news.asked(first);
    await s.clk.runUntil(1040);
    expect(s.heard[0]?.states.length).above(before);
  });

  it("tells all at once that the engine came or went", async () => {
    const s = site(60);
    await s.busy(1000);
    const from = s.clk.mono();
    s.news.changedMuch();
    await s.clk.runUntil(from + 21);
    for (const h of s.heard) expect(h.states.at(-1)).within(from, from + 21);
  });

  it("is never silent for longer than it says", async () => {
    const s = site(3);
    await s.clk.runUntil(5000);
    const [h] = s.heard;
    expect(h?.states.length).within(5, 7);
    const gaps = h?.states.slice(1).map((at, i) => at - (h.states[i] ?? 0)) ?? [];
    expect(Math.max(...gaps)).most(1020);
  });

  it("says nothing while nothing changes but that it is there", async () => {
    const s = site(10);
    await s.clk.runUntil(500);
    const before = sum(s.heard.map((h) => h.states.length));
    for (let i = 0; i < 20; i++) s.news.changed();
    await s.clk.runUntil(900);
    expect(sum(s.heard.map((h) => h.states.length))).equal(before);
  });

  it("tells each once of an adapter that came and went between two words", async () => {
    const s = site(60);
    await s.clk.runUntil(2000);
    s.hold("m/a");
    s.leave("m/a");
    await s.clk.runUntil(4000);
    for (const h of s.heard) expect(h.gone).deep.equal(["m/a"]);
  });

  it("sends holdings only when they changed", async () => {
    const s = site(2);
    await s.busy(500);
    expect(s.heard.map((h) => h.holdings)).deep.equal([1, 1]);
    s.hold("m/a");
    await s.clk.runUntil(600);
    expect(s.heard.map((h) => h.holdings)).deep.equal([2, 2]);
  });
});
