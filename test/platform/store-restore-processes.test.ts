import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as stores from "../../bench/platform/store.js";
import * as soak from "../../bench/soak/site.js";
import * as asking from "./asking.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
const ENTRIES = 3;
/** Milliseconds within which a change must be in force. */
const IN_FORCE_MS = 2000;
/** Milliseconds for which the store is unavailable, and after the first write until it is repeated. */
const [DOWN_MS, WRITTEN_AGAIN_MS] = [300, 1200];
/** Number of other changes that the store loses, and that it makes after the restore. */
const [LOST_CHANGES, LATER_CHANGES] = [30, 60];
/** Milliseconds between requests, and for which they are sent once a change must be in force. */
const [EVERY_MS, FOR_MS] = [20, 1500];

/** Entry and endpoint daemons as processes, whose store is restored from a backup. */
describe("daemons whose store is restored from a backup", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  let site: soak.Site;
  let requests = 0;

  const ask = (prefix: string): Promise<asking.Answer> => {
    const n = requests++;
    return asking.request(site, { id: `r${n}`, entry: n, prefix, body: "x", adapter: "a1" });
  };

  function changeOther(count: number): void {
    for (let i = 0; i < count; i++) site.store.put("sumacfield/other", { i });
  }

  /** Sends requests to `prefix` for `ms`, and resolves with their answers. */
  async function askFor(ms: number, prefix: string): Promise<readonly asking.Answer[]> {
    const until = performance.now() + ms;
    const answers: Promise<asking.Answer>[] = [];
    while (performance.now() < until) {
      answers.push(ask(prefix));
      await timers.setTimeout(EVERY_MS);
    }
    return Promise.all(answers);
  }

  /** Makes a change that the store loses and that is made again; resolves once it must be in force. */
  async function loseAndRepeat(change: () => void): Promise<void> {
    const backup: stores.Backup = site.store.backup();
    changeOther(LOST_CHANGES);
    await timers.setTimeout(IN_FORCE_MS);
    change();
    const acknowledgedAt = performance.now();
    site.store.faults.mode = "busy";
    await timers.setTimeout(DOWN_MS);
    site.store.restore(backup);
    site.store.faults.mode = "well";
    await timers.setTimeout(WRITTEN_AGAIN_MS - DOWN_MS);
    site.writeAgain();
    changeOther(LATER_CHANGES);
    await timers.setTimeout(acknowledgedAt + IN_FORCE_MS - performance.now());
  }

  before(async () => {
    const size = { entries: ENTRIES, engines: 1, plain: 2 };
    site = new soak.Site(size, MAIN, folder, (what) => faults.push(what));
    await site.start();
    await startup.untilServed(2 * ENTRIES, async () => (await ask("/c/")).status === 200);
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
    expect(faults).deep.equal([]);
  });

  it("serve a route that the store lost and got again, and all others meanwhile", async () => {
    const [meanwhile] = await Promise.all([
      askFor(2 * IN_FORCE_MS, "/c/"),
      loseAndRepeat(() => site.toggle("/p1/")),
    ]);
    const added = await askFor(FOR_MS, "/p1/");
    expect(new Set(meanwhile.map((a) => a.status))).deep.equal(new Set([200]));
    expect(new Set(added.map((a) => a.status))).deep.equal(new Set([200]));
  }).timeout(20_000);

  it("send nothing to a worker whose leaving the store lost and got again", async () => {
    const place = site.places.at(-1);
    if (!place) throw new Error("there is no worker");
    await loseAndRepeat(() => {
      site.leave(place);
      place.worker.leaving = false;
    });
    const answers = await askFor(FOR_MS, "/c/");
    expect(answers.map((a) => a.by)).not.include(place.worker.instance);
    expect(new Set(answers.map((a) => a.status))).deep.equal(new Set([200]));
  }).timeout(20_000);

  it("reject no request for a route that was lost while an entry daemon started, and serve it once it is back", async () => {
    const backup = site.store.backup();
    site.toggle("/p2/");
    await timers.setTimeout(IN_FORCE_MS);
    site.store.restore(backup);
    const [started] = site.entries;
    if (!started) throw new Error("there is no entry daemon");
    await started.kill();
    started.start();
    await site.untilReady();
    const lost = await askFor(FOR_MS, "/p2/");
    site.writeAgain();
    await timers.setTimeout(IN_FORCE_MS);
    const added = await askFor(FOR_MS, "/p2/");
    const fromStarted = lost.filter((a) => a.entry === started.plan.name);
    expect(fromStarted.some((a) => a.status === 503)).equal(true);
    expect(lost.map((a) => a.status)).not.include(404);
    expect(new Set(added.map((a) => a.status))).deep.equal(new Set([200]));
  }).timeout(20_000);
});
