import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as soak from "../../bench/soak/site.js";
import * as asking from "./asking.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
const PER_S = 200;
const BEFORE_MS = 3000;
const WHILE_MS = 6000;
/** Milliseconds after which the requests count, and the least share of the usual one that must be served of them. */
const CONTACT_MS = 3000;
const MIN_SHARE = 0.75;
/** Part of the new connections that one entry daemon gets. */
const HOT_PART = 0.9;

/** Guards against streams refused because one entry daemon could use but an eighth of an engine's connections. */
describe("streams of one adapter", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const size = { entries: 3, engines: 4, plain: 1 };
  const site = new soak.Site(size, MAIN, folder, (what) => faults.push(what));

  const ask = (n: number, entry: number): Promise<asking.Answer> =>
    asking.request(site, { id: `r${n}`, entry, prefix: "/s/", body: "b", adapter: "a1" });

  before(async () => {
    await site.start();
    await startup.untilServed(9, async (n, inRow) => (await ask(-n - 1, inRow)).status === 200);
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it("are served when most new connections come to one entry daemon", async () => {
    const going: Promise<asking.Answer>[] = [];
    const startedAt = performance.now();
    const hotAt = startedAt + BEFORE_MS;
    while (performance.now() < hotAt + WHILE_MS) {
      const due = ((performance.now() - startedAt) * PER_S) / 1000;
      while (going.length < due) {
        const n = going.length;
        const isHot = performance.now() > hotAt && (n % 10) / 10 < HOT_PART;
        going.push(ask(n, isHot ? 0 : n));
      }
      await timers.setTimeout(2);
    }
    const answers = await Promise.all(going);
    const share = (from: number, to: number): number => {
      const sent = answers.filter((a) => a.sentAt >= from && a.sentAt < to);
      return sent.filter((a) => a.status === 200).length / sent.length;
    };
    expect(share(hotAt + CONTACT_MS, Infinity)).least(MIN_SHARE * share(startedAt, hotAt));
    expect(faults).deep.equal([]);
  }).timeout(30_000);
});
