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
/** Crashes under one part after which the users' bounds begin, and the bounds in ms and in requests. */
const CRASHES = 5;
const CONTACT_MS = 3000;
const MAX_LATE = 3;
/** Least share of the sound requests that are served, compared with the time before the first crash. */
const MIN_SOUND_SHARE = 0.5;
const MIN_SOUND = 20;
const CALM_MS = 1500;
/** Milliseconds from the first fatal request until all daemons are killed, where they are. */
const KILL_AFTER_MS = 4500;
/** Milliseconds from the first fatal request to the first sound one, where no sound one comes before. */
const SILENT_MS = 4000;
const FATAL_FOR_MS = 12_000;
const FATAL_INTERVAL_MS = 200;
const SOUND_INTERVAL_MS = 60;
const ADAPTERS = ["a1", "a2", "a3"] as const;

/** The prompts of one test: those that crash their workers hold `fatal`, all others only the other parts. */
interface Traffic {
  /** Route prefixes, used in turn. */
  readonly prefixes: readonly string[];
  readonly fatal: string;
  /** The parts before and after the fatal one, of the `n`th request. */
  readonly others: (n: number) => {
    readonly before: readonly string[];
    readonly after: readonly string[];
  };
  /** Milliseconds from the first sound request to the first fatal one; negative if that comes first. */
  readonly calmMs: number;
}

/** A request that was sent; its status is undefined if its answer broke off. */
interface Sent {
  readonly id: string;
  readonly sentAt: number;
  readonly status: number | undefined;
}

/** Guards against requests that crash worker after worker because of one part of their prompts, no two of them alike. */
describe("a prompt part that crashes its workers", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const site = new soak.Site({ entries: 3, engines: 8, plain: 8 }, MAIN, folder, (what) =>
    faults.push(what),
  );
  const { journal } = site;
  let count = 0;

  /** Sends the `n`th request of some traffic; its last part and its body are its own. */
  async function send(t: Traffic, n: number, isFatal: boolean): Promise<Sent> {
    const { before, after } = t.others(n);
    const own = `e${(count++).toString(16)}`;
    const id = `${isFatal ? "fatal" : "sound"}-${own}`;
    const sentAt = performance.now();
    const plan: asking.RequestOptions = {
      id,
      entry: n,
      prefix: t.prefixes[n % t.prefixes.length] ?? "",
      body: `body ${own}`,
      adapter: ADAPTERS[n % ADAPTERS.length] ?? "",
      parts: [...before, ...(isFatal ? [t.fatal] : []), ...after, own],
    };
    // An answer that its worker's crash broke off has no status.
    const status = await asking.requestStatus(site, plan).catch(() => undefined);
    return { id, sentAt, status };
  }

  /** Sends requests at an interval while `isOn` holds; resolves to their answers. */
  async function repeat(
    t: Traffic,
    isFatal: boolean,
    intervalMs: number,
    isOn: () => boolean,
  ): Promise<readonly Sent[]> {
    const going: Promise<Sent>[] = [];
    for (let n = 0; isOn(); n++) {
      going.push(send(t, n, isFatal));
      await timers.setTimeout(intervalMs);
    }
    return Promise.all(going);
  }

  /** Plays some traffic, and checks the users' bounds; `during` runs beside the fatal requests. */
  async function play(t: Traffic, during?: () => Promise<void>): Promise<void> {
    site.fatalParts.add(t.fatal);
    const crashes = (): typeof journal.crashes => journal.crashes.filter((c) => c.part === t.fatal);
    const sending = { isOver: false };
    const sound = (async () => {
      await timers.setTimeout(Math.max(0, -t.calmMs));
      return repeat(t, false, SOUND_INTERVAL_MS, () => !sending.isOver);
    })();
    await timers.setTimeout(Math.max(0, t.calmMs));
    const startedAt = performance.now();
    const [fatal] = await Promise.all([
      repeat(t, true, FATAL_INTERVAL_MS, () => performance.now() < startedAt + FATAL_FOR_MS),
      during?.(),
    ]);
    sending.isOver = true;
    const answers = await sound;
    site.fatalParts.delete(t.fatal);
    const boundAt = crashes()[CRASHES - 1]?.at ?? Infinity;
    const ids = new Set(fatal.map((a) => a.id));
    const late = journal.runs.filter((r) => ids.has(r.id) && r.at > boundAt + CONTACT_MS);
    const servedShare = (from: number, to: number): number => {
      const sent = answers.filter((a) => a.sentAt >= from && a.sentAt < to);
      expect(sent.length, "sound requests").least(MIN_SOUND);
      return sent.filter((a) => a.status === 200).length / sent.length;
    };
    const lastAt = crashes().at(-1)?.at ?? startedAt;
    const from = Math.min(boundAt, lastAt) + 2 * CONTACT_MS;
    const seen = `${crashes().length} crashed, ${late.length} sent late`;
    expect(late.length, seen).most(MAX_LATE);
    const usualShare = t.calmMs > 0 ? servedShare(0, startedAt) : 1;
    const share = servedShare(from, startedAt + FATAL_FOR_MS);
    expect(share, "sound requests served").least(MIN_SOUND_SHARE * usualShare);
    expect(faults).deep.equal([]);
    expect(journal.faults).deep.equal([]);
    await timers.setTimeout(soak.BACK_MS);
  }

  before(async () => {
    await site.start();
    const t: Traffic = {
      prefixes: ["/s/", "/c/"],
      fatal: "",
      others: () => ({ before: ["a"], after: [] }),
      calmMs: CALM_MS,
    };
    await startup.untilServed(12, async (_, inRow) => (await send(t, inRow, false)).status === 200);
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it("is sent to no worker once it is known, while sound prompts are served: streams", async () => {
    await play({
      prefixes: ["/s/"],
      fatal: "fa1",
      others: (n) => ({ before: ["a1"], after: [`b${n % 4}`] }),
      calmMs: CALM_MS,
    });
  }).timeout(60_000);

  it("is sent to no worker once it is known, while sound prompts are served: calls and streams", async () => {
    await play({
      prefixes: ["/c/", "/n/", "/s/"],
      fatal: "fa2",
      others: () => ({ before: ["a2"], after: ["b"] }),
      calmMs: CALM_MS,
    });
  }).timeout(60_000);

  it("is sent to no worker once it is known, without sound prompts before: streams", async () => {
    await play({
      prefixes: ["/s/", "/o/"],
      fatal: "fa3",
      others: (n) => ({ before: n % 3 === 0 ? ["a3", "c3"] : ["a3"], after: [`d${n % 5}`] }),
      calmMs: -SILENT_MS,
    });
  }).timeout(60_000);

  it("is sent to no worker after all daemons were killed, while sound prompts are served", async () => {
    const t: Traffic = {
      prefixes: ["/s/", "/c/"],
      fatal: "fa4",
      others: (n) => ({ before: ["a4"], after: [`b${n % 4}`] }),
      calmMs: CALM_MS,
    };
    await play(t, async () => {
      await timers.setTimeout(KILL_AFTER_MS);
      const daemons = [...site.entries, ...site.endpoints];
      await Promise.all(daemons.map((d) => d.kill()));
      for (const d of daemons) d.start();
      await site.untilReady();
    });
  }).timeout(60_000);
});
