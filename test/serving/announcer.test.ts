import * as chai from "chai";
import * as time from "../../bench/measure/time.js";
import * as announcer from "../../src/serving/announcer.js";
import type * as seatMessages from "../../src/serving/seat-messages.js";
import * as fixtures from "./fixtures.js";

const { expect } = chai;

/** Creates an announcer with connected entry daemons, and records the messages that each of them receives. */
function setUp(entries: number) {
  const clk = new time.Time();
  let resident: readonly string[] = [];
  let seats = 0;
  let config: number | undefined;
  const news = new announcer.Announcer(
    clk,
    (silenceMs): seatMessages.State => ({
      ...fixtures.STATE,
      instance: "i1",
      seats,
      entries,
      silenceMs,
    }),
    () => ({ kind: "holdings", models: ["m"], resident, reach: 0 }),
    () => [],
    () => config,
  );
  const received = Array.from({ length: entries }, () => {
    return { states: [] as number[], holdings: 0, gone: [] as string[], configs: [] as unknown[] };
  });
  const clients = received.map((r, i): announcer.Client => {
    return {
      host: `e${i}`,
      send: () => undefined,
      sendLine: (text) => {
        for (const line of text.trimEnd().split("\n")) {
          if (line.includes('"state"')) r.states.push(clk.mono());
          else {
            const held = JSON.parse(line) as seatMessages.Holdings;
            r.holdings++;
            r.gone.push(...held.gone);
            r.configs.push(held.config);
          }
        }
      },
    };
  });
  for (const c of clients) news.join(c);
  /** Changes the state every 10 ms until `ms`. */
  const changeUntil = async (ms: number): Promise<void> => {
    for (let at = clk.mono(); at < ms; at += 10)
      clk.after(at - clk.mono(), () => {
        seats++;
        news.stateChanged();
      });
    await clk.runUntil(ms);
  };
  const leave = (key: string): void => {
    resident = resident.filter((k) => k !== key);
    news.adapterLeft(key);
    news.stateChanged();
  };
  const hold = (key: string): void => {
    resident = [...resident, key];
    news.stateChanged();
  };
  const configure = (version: number): void => {
    config = version;
  };
  return { clk, news, clients, received, changeUntil, hold, leave, configure };
}

const sum = (list: readonly number[]): number => list.reduce((a, b) => a + b, 0);

describe("announcer", () => {
  it("sends no more states for many entry daemons than for few", async () => {
    for (const entries of [5, 30, 120]) {
      const s = setUp(entries);
      await s.changeUntil(4000);
      expect(sum(s.received.map((r) => r.states.length)), `${entries}`).below(
        4 * 110 + 2 * entries,
      );
      expect(Math.min(...s.received.map((r) => r.states.length))).above(1);
    }
  });

  it("sends to an entry daemon that asked for a seat in the next round, however many there are", async () => {
    const s = setUp(120);
    await s.changeUntil(1000);
    const [first] = s.clients;
    const before = s.received[0]?.states.length ?? 0;
    if (first) s.news.announceSoon(first);
    await s.clk.runUntil(1040);
    expect(s.received[0]?.states.length).above(before);
  });

  it("sends to all entry daemons in the next round when the engine came up or went down", async () => {
    const s = setUp(60);
    await s.changeUntil(1000);
    const from = s.clk.mono();
    s.news.announceSoonToAll();
    await s.clk.runUntil(from + 21);
    for (const r of s.received) expect(r.states.at(-1)).within(from, from + 21);
  });

  it("never exceeds the silence interval that it announces", async () => {
    const s = setUp(3);
    await s.clk.runUntil(5000);
    const [r] = s.received;
    expect(r?.states.length).within(5, 7);
    const gaps = r?.states.slice(1).map((at, i) => at - (r.states[i] ?? 0)) ?? [];
    expect(Math.max(...gaps)).most(1020);
  });

  it("sends nothing before its longest interval while the state stays the same", async () => {
    const s = setUp(10);
    await s.clk.runUntil(500);
    const before = sum(s.received.map((r) => r.states.length));
    for (let i = 0; i < 20; i++) s.news.stateChanged();
    await s.clk.runUntil(900);
    expect(sum(s.received.map((r) => r.states.length))).equal(before);
  });

  it("reports an adapter that came and left between two announcements once to each entry daemon", async () => {
    const s = setUp(60);
    await s.clk.runUntil(2000);
    s.hold("m/a");
    s.leave("m/a");
    await s.clk.runUntil(4000);
    for (const r of s.received) expect(r.gone).deep.equal(["m/a"]);
  });

  it("sends holdings only if they changed", async () => {
    const s = setUp(2);
    await s.changeUntil(500);
    expect(s.received.map((r) => r.holdings)).deep.equal([1, 1]);
    s.hold("m/a");
    await s.clk.runUntil(600);
    expect(s.received.map((r) => r.holdings)).deep.equal([2, 2]);
  });

  it("tells an entry daemon that connects which configuration is in force, and sends nothing to others for it", async () => {
    const s = setUp(2);
    const [first, second] = s.clients;
    if (!first || !second) throw new Error("there are no entry daemons");
    await s.changeUntil(1000);
    s.configure(7);
    s.news.leave(second);
    s.news.join(second);
    await s.changeUntil(2000);
    expect(s.received.map((r) => r.configs)).deep.equal([[undefined], [undefined, 7]]);
  });
});
