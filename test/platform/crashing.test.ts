import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as bases from "../../bench/platform/worker-base.js";
import * as quarantine from "../../src/serving/quarantine.js";
import * as soak from "../../bench/soak/site.js";
import * as asking from "./asking.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
/** Maximum number of workers that may crash under one request; three are enough for quarantine. */
const MAX_CRASHES = 3;
/** Number of attempts of the caller, and milliseconds from the end of one to the next. */
const ATTEMPTS = 10;
const PAUSE_MS = 150;

/*
 * Guards against a request that crashes each worker that runs it and comes again by other
 * connections at other entry hosts: 22 workers crashed under one, with everything else that ran
 * there. Each attempt is sent to a worker, which crashes within a tenth of a second. The entry host
 * sees a closed connection, resends a repeatable request to the next worker, which crashes as well,
 * and answers 502. The next attempt has another id and may come to another host, so crashes
 * remembered only within one attempt on one host don't stop it. Over 15 crashes, the same adapter
 * was in use under each and no other under more than five; the crashes were spread over all entry
 * hosts, and nine of them were first sends. Without the quarantine, ten attempts of each kind below
 * crashed 12, 4 and 4 workers, which were all the workers available in that time.
 */
describe("a request that crashes its workers", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const size = { entries: 2, engines: 6, plain: 4 };
  const site = new soak.Site(size, MAIN, folder, (what) => faults.push(what));

  const ask = (id: string, entry: number, prefix: string, body: string): Promise<number> =>
    asking.requestStatus(site, { id, entry, prefix, body, adapter: "a1" });

  /** Sends one request repeatedly, to the entry hosts in turn; returns the answers' statuses. */
  async function repeat(at: string, attempts: number): Promise<readonly number[]> {
    const statuses: number[] = [];
    for (let n = 0; n < attempts; n++) {
      statuses.push(await ask(`fatal${at}${n}`, n, at, `${bases.CRASH_MARKER} ${at}`));
      await timers.setTimeout(PAUSE_MS);
    }
    return statuses;
  }

  /** Waits until an ordinary request is served by both entry hosts. */
  async function untilServed(at: string): Promise<void> {
    await startup.untilServed(
      4,
      async (n) => (await ask(`ordinary${at}${n}`, n, at, "ordinary")) === 200,
    );
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

  for (const [kind, at] of [
    ["a stream that may resume elsewhere", "/s/"],
    ["a call that may be repeated", "/c/"],
    ["a call that may not", "/n/"],
  ] as const) {
    it(`is sent to no worker after the third crash: ${kind}`, async () => {
      const before = site.journal.crashes.length;
      await repeat(at, ATTEMPTS);
      // Its workers are back, and serve other requests.
      await untilServed(at);
      await timers.setTimeout(soak.BACK_MS);
      expect(await repeat(at, 2)).deep.equal([503, 503]);
      expect(site.journal.crashes.length - before).within(1, MAX_CRASHES);
      expect(faults).deep.equal([]);
    }).timeout(30_000);
  }

  it("is sent to none after all daemons have restarted, until an operator releases it", async () => {
    const before = site.journal.crashes.length;
    const kept = (): readonly string[] =>
      [...site.store.items.keys()].filter((k) => k.startsWith(quarantine.PREFIX));
    for (let n = 0; kept().length < 3 && n < 100; n++) await timers.setTimeout(50);
    const daemons = [...site.entries, ...site.endpoints];
    await Promise.all(daemons.map((d) => d.kill()));
    for (const d of daemons) d.start();
    await site.untilReady();
    await untilServed("/s/");
    expect(await repeat("/s/", 4)).deep.equal([503, 503, 503, 503]);
    expect(site.journal.crashes.length).equal(before);
    expect(kept()).length(3);
    for (const key of kept()) site.store.remove(key);
    await timers.setTimeout(1500);
    expect(await repeat("/n/", 1)).deep.equal([502]);
    expect(site.journal.crashes.length).equal(before + 1);
  }).timeout(30_000);
});
