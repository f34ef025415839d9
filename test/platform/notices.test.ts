import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as notices from "../../bench/platform/notices.js";
import * as daemons from "../../bench/soak/daemon.js";
import * as soak from "../../bench/soak/site.js";
import * as asking from "./asking.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
/** Milliseconds between requests to each service. */
const EVERY_MS = 25;
const ENTRIES = 3;
/** Number of adapters; each engine can hold them all. */
const ADAPTERS = 3;
/** Milliseconds within which a request that can't be served is answered. */
const AT_ONCE_MS = 400;

/** Entry and endpoint daemons as processes, with two engines and two plain workers. */
describe("a worker that announces its state", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const size = { entries: ENTRIES, engines: 2, plain: 2 };
  let site: soak.Site;
  let runs = 0;

  const ask = (id: string, n: number, prefix: string): Promise<asking.Answer> =>
    asking.request(site, {
      id,
      entry: n,
      prefix,
      body: "ordinary",
      adapter: `a${n % ADAPTERS}`,
    });

  async function untilServed(at: string): Promise<void> {
    await startup.untilServed(
      2 * ENTRIES,
      async (n) => (await ask(`first${at}${n}`, n, at)).status === 200,
    );
  }

  /** One engine and one plain worker. */
  function two(): readonly soak.Place[] {
    return [0, size.engines].flatMap((i) => site.places[i] ?? []);
  }

  /** Sends requests to both services for `ms`; `during` runs at the same time. */
  async function load(ms: number, during?: () => Promise<void>): Promise<readonly asking.Answer[]> {
    const run = runs++;
    const answers: Promise<asking.Answer>[] = [];
    const beside = during?.();
    for (let at = 0, n = 0; at < ms; at += EVERY_MS, n++) {
      for (const path of ["/s/", "/c/"]) answers.push(ask(`${run}${path}${n}`, n, path));
      await timers.setTimeout(EVERY_MS);
    }
    await beside;
    return Promise.all(answers);
  }

  const served = (answers: readonly asking.Answer[]): number =>
    answers.filter((a) => a.status === 200).length / answers.length;

  const late = (answers: readonly asking.Answer[]): readonly string[] =>
    notices.leavingViolations(
      site.journal.arrivals,
      asking.sent(answers),
      asking.told(answers),
      daemons.DRAIN_MS,
    );

  beforeEach(async () => {
    site = new soak.Site(size, MAIN, folder, (what) => faults.push(what));
    await site.start();
    await untilServed("/s/");
    await untilServed("/c/");
  });

  afterEach(async () => {
    await site.stop();
  });

  after(() => {
    fs.rmSync(folder, { recursive: true });
  });

  it("gets nothing more once it has announced that it is leaving, even if the store is down", async () => {
    site.store.faults.mode = "busy";
    for (const p of two()) p.worker.leaving = true;
    const answers = await load(6000);
    expect(late(answers)).deep.equal([]);
    expect(served(answers)).above(0.99);
    expect(faults).deep.equal([]);
  }).timeout(40_000);

  it("gets nothing more even if it announces only briefly that it is leaving, and daemons are killed", async () => {
    site.store.faults.mode = "busy";
    for (const p of two()) p.worker.leaving = true;
    const answers = await load(6000, async () => {
      await timers.setTimeout(600);
      for (const p of two()) p.worker.leaving = false;
      for (let n = 0; n < 3; n++) {
        const d = site.endpoints[0];
        await d?.kill();
        d?.start();
        await timers.setTimeout(1000);
      }
    });
    expect(late(answers)).deep.equal([]);
    expect(served(answers)).above(0.99);
    expect(faults).deep.equal([]);
  }).timeout(40_000);

  it("gets two requests at most from each host within a pause that it asked that host for", async () => {
    for (const { worker } of site.places) {
      worker.behavior = "shedding";
      worker.shedPart = 0.5;
      worker.pauseS = 1.5;
    }
    const answers = await load(6000);
    expect(notices.pauseViolations(site.journal.arrivals, asking.sent(answers))).deep.equal([]);
    expect([...new Set(answers.map((a) => a.status))].sort()).deep.equal([200, 503]);
    expect(faults).deep.equal([]);
  }).timeout(40_000);

  it("is skipped while it asks for a pause, and callers are served by others", async () => {
    for (const { worker } of two()) {
      worker.behavior = "shedding";
      worker.pauseS = 3;
    }
    const answers = await load(8000);
    expect(notices.pauseViolations(site.journal.arrivals, asking.sent(answers))).deep.equal([]);
    expect(served(answers)).above(0.99);
    expect(faults).deep.equal([]);
  }).timeout(40_000);

  it("gets nothing if all workers ask for a pause, and callers are told at once when to retry", async () => {
    for (const { worker } of site.places) {
      worker.behavior = "shedding";
      worker.shedPart = 1;
      worker.pauseS = 2.5;
    }
    const answers = await load(6000);
    expect(notices.pauseViolations(site.journal.arrivals, asking.sent(answers))).deep.equal([]);
    const first = answers[0]?.sentAt ?? 0;
    const refused = answers.filter((a) => a.sentAt > first + 1000 && a.sentAt < first + 2000);
    expect([...new Set(refused.map((a) => a.status))]).deep.equal([503]);
    expect(Math.max(...refused.map((a) => a.endedAt - a.sentAt))).below(AT_ONCE_MS);
    for (const a of refused) {
      const backAt = a.endedAt + (a.retryAfterMs ?? 0);
      expect(backAt).within(first + 2400, first + 4000);
    }
  }).timeout(40_000);
});
