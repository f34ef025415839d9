import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as undici from "undici";
import * as limits from "../../bench/platform/limits.js";
import * as soak from "../../bench/soak/site.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
/** Milliseconds between two requests to each service, and for which they come. */
const EVERY_MS = 25;
const PLAY_MS = 10_000;
const LIMIT_PER_S = 1.4;
const ENTRIES = 3;

/** Entry and endpoint daemons as processes, before one engine and one plain worker of which each names a limit. */
describe("a worker that names a limit", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const size = { entries: ENTRIES, engines: 2, plain: 2 };
  const site = new soak.Site(size, MAIN, folder, (what) => faults.push(what));

  async function ask(id: string, entry: number, at: string): Promise<number> {
    const callers = site.entries[entry % ENTRIES]?.callers ?? "";
    const res = await undici.request(`http://${callers}${at}x`, {
      method: "POST",
      headers: {
        host: "a.example",
        "x-sumacfield-attempt-id": id,
        "x-sumacfield-deadline-ms": "3000",
        ...(at === "/s/" && { "x-sumacfield-model": "m/a1", "x-sumacfield-token-usage": "100,10" }),
      },
      body: "ordinary",
    });
    await res.body.text();
    return res.statusCode;
  }

  async function untilServed(at: string): Promise<void> {
    for (let n = 0, served = 0; served < 2 * ENTRIES; n++) {
      if (n > 200) throw new Error("it was not served");
      served = (await ask(`first${at}${n}`, n, at)) === 200 ? served + 1 : 0;
    }
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
    const named = [0, size.engines].map((i) => site.places[i]?.worker);
    for (const w of named) if (w) w.limitPerS = LIMIT_PER_S;
    const statuses: Promise<number>[] = [];
    for (let ms = 0, n = 0; ms < PLAY_MS; ms += EVERY_MS, n++) {
      for (const at of ["/s/", "/c/"]) statuses.push(ask(`r${at}${n}`, n, at));
      await timers.setTimeout(EVERY_MS);
    }
    const answers = await Promise.all(statuses);
    expect(limits.beyond(site.kept.arrivals)).deep.equal([]);
    expect(answers.filter((s) => s === 200).length / answers.length).above(0.99);
    expect(faults).deep.equal([]);
  }).timeout(40_000);
});
