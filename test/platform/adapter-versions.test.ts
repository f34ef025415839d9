import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as workers from "../../bench/platform/worker.js";
import type * as daemons from "../../bench/soak/daemon.js";
import * as history from "../../bench/soak/history.js";
import * as soak from "../../bench/soak/site.js";
import * as streamCaller from "./stream-caller.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
const ADAPTERS = 6;
const SIZE = { entries: 3, engines: 8, plain: 0, slots: ADAPTERS } as const;
const ROUTE = streamCaller.LONG_ROUTE;
/** The same for streams that may be sent to one worker alone, which no silence of the worker ends. */
const ONCE_ROUTE = { ...ROUTE, name: "k", prefix: "/k/", attempts: 1, resumable: false } as const;
/** Milliseconds between two events of a stream, and from one stream to the next. */
const EVENT_MS = 300;
const INTERVAL_MS = 55;
/** Milliseconds from the first request to the declaration, and from there to the last request. */
const BEFORE_MS = 1000;
const PLAY_MS = 9500;
/** Milliseconds within which a request that can't be served is refused. */
const REFUSED_WITHIN_MS = 500;
/** Milliseconds until the slow engines begin, after which a request can't begin in time on the version before. */
const LATE_BEGIN_MS = 4600;

/** A request, with the milliseconds from the declaration to its sending and to its end. */
interface Sent {
  readonly attempt: streamCaller.Attempt;
  readonly sentMs: number;
  readonly endedMs: number;
}

describe("requests that begin on an outdated adapter version", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const site = new soak.Site(SIZE, MAIN, folder, () => undefined);
  const callerOn = (prefix: string, name: string): streamCaller.StreamCaller =>
    new streamCaller.StreamCaller(site, { prefix, waitMs: ROUTE.timeoutMs, name });
  const caller = callerOn(ROUTE.prefix, "v");
  const onceCaller = callerOn(ONCE_ROUTE.prefix, "w");
  const adapterOf = (n: number): string => `a${n % ADAPTERS}`;

  const engines = (): readonly workers.Engine[] =>
    site.places.flatMap(({ worker }) => (worker instanceof workers.Engine ? [worker] : []));

  before(async () => {
    site.eventMs = EVENT_MS;
    await site.start();
    site.configure([ROUTE, ONCE_ROUTE]);
  });

  beforeEach(async () => {
    for (const d of site.endpoints) {
      d.thaw();
      d.start();
    }
    for (const e of engines()) e.beginMs = 0;
    for (let n = 0, served = 0; served < 4 * ADAPTERS; n++) {
      if (n > 300) throw new Error("it was not served");
      await timers.setTimeout(20);
      const a = await Promise.all(
        Array.from({ length: ADAPTERS }, (_, i) => caller.send(n, adapterOf(i))),
      );
      served += a.filter(streamCaller.isComplete).length;
    }
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
  });

  /** Declares a version of every adapter while requests come, and disturbs the site. */
  async function play(disturb: () => Promise<void>, by = caller): Promise<readonly Sent[]> {
    const version = new Map<string, number>();
    const declaredAt = performance.now() + BEFORE_MS;
    const ms = (): number => performance.now() - declaredAt;
    let disturbed: Promise<void> | undefined;
    const sent: Promise<Sent>[] = [];
    for (let n = 0; ms() < PLAY_MS; n++) {
      if (ms() >= 0 && !disturbed) {
        for (let i = 0; i < ADAPTERS; i++) version.set(adapterOf(i), site.declare(adapterOf(i)));
        disturbed = disturb();
      }
      const sentMs = ms();
      const attempt = by.send(n, adapterOf(n));
      sent.push(attempt.then((a) => ({ attempt: a, sentMs, endedMs: ms() })));
      await timers.setTimeout(INTERVAL_MS);
    }
    await disturbed;
    const all = await Promise.all(sent);
    const late = site.journal.runs.filter(
      (r) => r.at > declaredAt + history.VERSION_MS && r.version < (version.get(r.adapter) ?? 0),
    );
    expect(late.map((r) => `${r.id} after ${Math.round(r.at - declaredAt)} ms`)).deep.equal([]);
    return all;
  }

  const servedShare = (list: readonly Sent[]): number =>
    list.filter(({ attempt }) => streamCaller.isComplete(attempt)).length / list.length;

  async function killAll(list: readonly daemons.Daemon[]): Promise<void> {
    await Promise.all(list.map((d) => d.kill()));
  }

  it("are refused at once while all endpoint daemons are away", async () => {
    const all = await play(() => killAll(site.endpoints));
    const late = all.filter((s) => s.sentMs > history.VERSION_MS);
    expect(late.filter((s) => s.endedMs - s.sentMs > REFUSED_WITHIN_MS)).deep.equal([]);
    expect(late.filter((s) => s.attempt.received.status !== 503)).deep.equal([]);
  }).timeout(40_000);

  it("go to the newest version where some endpoint daemons are away", async () => {
    const all = await play(() => killAll(site.endpoints.slice(0, 3)));
    expect(servedShare(all.filter((s) => s.sentMs > history.VERSION_MS))).least(0.95);
  }).timeout(40_000);

  it("do not follow a pause of the endpoint daemons in which it was declared", async () => {
    const all = await play(async () => {
      for (const d of site.endpoints) d.freeze();
      await timers.setTimeout(7500);
      for (const d of site.endpoints) d.thaw();
    });
    expect(servedShare(all.filter((s) => s.sentMs > 8500))).least(0.95);
  }).timeout(40_000);

  it("are not left with engines that have not begun them in time", async () => {
    await play(async () => {
      for (const e of engines()) e.beginMs = LATE_BEGIN_MS;
      await Promise.resolve();
    }, onceCaller);
  }).timeout(40_000);
});
