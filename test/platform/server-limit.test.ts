import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as limits from "../../bench/platform/limits.js";
import * as soak from "../../bench/soak/site.js";
import * as asking from "./asking.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
/** Milliseconds between requests to each service, and the length of a load in milliseconds. */
const EVERY_MS = 25;
const LOAD_MS = 10_000;
const LIMIT_PER_S = 1.4;
/** Milliseconds within which all hosts send freely again once a limit is withdrawn. */
const RELEASE_MS = 3000;
/** Minimum part of its limit that a worker gets while more is asked for. */
const MIN_USE = 0.6;
const MS_PER_S = 1000;
const ENTRIES = 3;
/** Number of adapters; each engine can hold them all. */
const ADAPTERS = 3;

/**
 * Entry and endpoint daemons as processes; in the first test one engine and one plain worker of two
 * each announce a limit.
 */
describe("a worker that announces a limit", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const size = { entries: ENTRIES, engines: 2, plain: 2 };
  const site = new soak.Site(size, MAIN, folder, (what) => faults.push(what));

  const ask = (id: string, n: number, prefix: string): Promise<number> =>
    asking.requestStatus(site, {
      id,
      entry: n,
      prefix,
      body: "ordinary",
      adapter: `a${n % ADAPTERS}`,
    });

  async function untilServed(at: string): Promise<void> {
    await startup.untilServed(
      2 * ENTRIES,
      async (n) => (await ask(`first${at}${n}`, n, at)) === 200,
    );
  }

  /** One engine and one plain worker. */
  function two(): readonly soak.Place[] {
    return [0, size.engines].flatMap((i) => site.places[i] ?? []);
  }

  function name(perS: number | undefined, places: readonly soak.Place[]): void {
    for (const p of places) p.worker.limitPerS = perS;
  }

  /** Sends requests to both services for `ms`; returns the answers' statuses. */
  async function load(id: string, ms: number): Promise<readonly number[]> {
    const statuses: Promise<number>[] = [];
    for (let at = 0, n = 0; at < ms; at += EVERY_MS, n++) {
      for (const path of ["/s/", "/c/"]) statuses.push(ask(`${id}${path}${n}`, n, path));
      await timers.setTimeout(EVERY_MS);
    }
    return Promise.all(statuses);
  }

  /** How many requests each of the two received, after the first `from` arrivals. */
  function arrived(from: number): readonly number[] {
    const since = site.journal.arrivals.slice(from);
    return two().map((p) => since.filter((a) => a.instance === p.worker.instance).length);
  }

  before(async () => {
    await site.start();
    await untilServed("/s/");
    await untilServed("/c/");
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it("gets no more requests from all hosts than it allows, and its callers are served elsewhere", async () => {
    name(LIMIT_PER_S, two());
    const answers = await load("r", LOAD_MS);
    expect(limits.limitViolations(site.journal.arrivals)).deep.equal([]);
    expect(answers.filter((s) => s === 200).length / answers.length).above(0.99);
    expect(faults).deep.equal([]);
  }).timeout(40_000);

  it("gets what it allows if all announce one, and fills again once it announces none", async () => {
    name(LIMIT_PER_S, site.places);
    let from = site.journal.arrivals.length;
    const answers = await load("used", LOAD_MS);
    for (const n of arrived(from)) expect(n).above(MIN_USE * LIMIT_PER_S * (LOAD_MS / MS_PER_S));
    expect([...new Set(answers)].sort()).deep.equal([200, 503]);
    name(undefined, site.places);
    await load("withdrawn", RELEASE_MS);
    from = site.journal.arrivals.length;
    const free = await load("free", RELEASE_MS);
    expect(free.filter((s) => s === 200).length / free.length).above(0.99);
    expect(arrived(from)[1]).above(3 * LIMIT_PER_S * (RELEASE_MS / MS_PER_S));
    expect(limits.limitViolations(site.journal.arrivals)).deep.equal([]);
  }).timeout(60_000);
});
