import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import type * as daemons from "../../bench/soak/daemon.js";
import * as soak from "../../bench/soak/site.js";
import * as streamCaller from "./stream-caller.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
const SIZE = { entries: 3, engines: 8, plain: 0, slots: 10 } as const;
const ADAPTERS = 10;
/** Engines of the first software version; the others have the second one. */
const FIRST_VERSION_ENGINES = 4;
const ROUTE = streamCaller.LONG_ROUTE;
const EVENT_MS = 520;
/** Streams that begin before the disturbance, and new ones after it, with the milliseconds from one to the next. */
const STREAMS = 36;
const INTERVAL_MS = 55;
/** Milliseconds from the start of the last stream to the disturbance. */
const RUN_MS = 300;
/** Most tries of a caller to resume a stream, and milliseconds before each. */
const MAX_TRIES = 3;
const RETRY_MS = 350;
/** Least share of the resumed streams that must go on, for each part of the new ones that begin. */
const MIN_RELATIVE_SHARE = 0.85;

/** A stream that broke, and the attempts to resume it that reached a host. */
interface Resumption {
  readonly first: streamCaller.Attempt;
  readonly tries: readonly streamCaller.Attempt[];
}

const share = (list: readonly streamCaller.Attempt[]): number =>
  list.filter((a) => streamCaller.isComplete(a)).length / Math.max(1, list.length);

describe("streams that callers resume beside two software versions", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const site = new soak.Site(SIZE, MAIN, folder, () => undefined);
  const caller = new streamCaller.StreamCaller(site, {
    prefix: ROUTE.prefix,
    waitMs: ROUTE.timeoutMs,
    name: "l",
  });
  const adapterOf = (n: number): string => `a${n % ADAPTERS}`;

  before(async () => {
    site.software = (place) =>
      Number(place.split("-")[1]) < FIRST_VERSION_ENGINES ? "v1" : "v1.1";
    site.eventMs = EVENT_MS;
    await site.start();
    site.configure([ROUTE]);
    await startup.untilServed(1, areAllServed);
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
  });

  /** Sends a stream for each adapter; resolves to whether all were served. */
  async function areAllServed(): Promise<boolean> {
    const batch = Array.from({ length: ADAPTERS }, (_, i) => caller.send(i, adapterOf(i)));
    return share(await Promise.all(batch)) === 1;
  }

  /** Begins streams at an entry daemon, or at all in turn, one each {@link INTERVAL_MS}. */
  async function begin(entry?: number): Promise<readonly Promise<streamCaller.Attempt>[]> {
    const begun: Promise<streamCaller.Attempt>[] = [];
    for (let n = 0; n < STREAMS; n++) {
      begun.push(caller.send(entry ?? n, adapterOf(n)));
      await timers.setTimeout(INTERVAL_MS);
    }
    return begun;
  }

  /** Resumes a stream at other hosts until it goes on; `isNamed` says whether it names the attempt that began it. */
  async function resume(
    first: streamCaller.Attempt,
    n: number,
    isNamed = true,
  ): Promise<Resumption> {
    const tries: streamCaller.Attempt[] = [];
    for (let i = 1; i <= MAX_TRIES && !tries.some(streamCaller.isComplete); i++) {
      await timers.setTimeout(RETRY_MS);
      const after = [first, ...tries].reduce((sum, a) => sum + streamCaller.eventCount(a), 0);
      const a = await caller.send(n + i, first.adapter, {
        after,
        ...(isNamed && { resumes: first.id }),
      });
      if (a.received.status > 0) tries.push(a);
    }
    return { first, tries };
  }

  /** Cuts streams by `disturb`, and resumes them after it while new ones begin. */
  async function play(disturb: () => Promise<void>, entry?: number) {
    const begun = await begin(entry);
    await timers.setTimeout(RUN_MS);
    await disturb();
    await site.untilReady();
    const cut = (await Promise.all(begun)).filter(streamCaller.isCut);
    const [resumed, fresh] = await Promise.all([
      Promise.all(cut.map((first, n) => resume(first, n))),
      begin().then((list) => Promise.all(list)),
    ]);
    const mixed = resumed.filter((r) => streamCaller.versionsOf(r.first, ...r.tries).size > 1);
    const went = share(resumed.flatMap((r) => r.tries));
    expect(mixed.map((r) => r.first.id)).deep.equal([]);
    expect(cut.length).greaterThan(STREAMS / 3);
    expect(went).least(MIN_RELATIVE_SHARE * share(fresh));
  }

  const all = (): readonly daemons.Daemon[] => [...site.entries, ...site.endpoints];

  async function killAll(list: readonly daemons.Daemon[], downMs: number): Promise<void> {
    await Promise.all(list.map((d) => d.kill()));
    await timers.setTimeout(downMs);
    for (const d of list) d.start();
  }

  /** Restarts daemons one after the other, by a kill, or by SIGTERM and a kill `intervalMs` later. */
  async function restartInTurn(
    list: readonly daemons.Daemon[],
    how: "SIGKILL" | "SIGTERM",
    intervalMs: number,
  ): Promise<void> {
    for (const d of list) {
      if (how === "SIGTERM") void d.stop();
      else await d.kill();
      await timers.setTimeout(intervalMs);
      await d.kill();
      d.start();
    }
  }

  /** Kills all entry daemons under streams, half of whose callers name the attempt that they resume, while `change` runs. */
  async function playWithoutHosts(change: () => Promise<void>): Promise<void> {
    const begun = await begin();
    await timers.setTimeout(RUN_MS);
    await Promise.all([killAll(site.entries, 400), change()]);
    await site.untilReady();
    const cut = (await Promise.all(begun)).filter(streamCaller.isCut);
    const resumed = await Promise.all(cut.map((first, n) => resume(first, n, n % 2 === 0)));
    const joined = resumed.filter((r) => streamCaller.versionsOf(r.first, ...r.tries).size > 1);
    expect(joined.map((r) => r.first.id)).deep.equal([]);
    const named = resumed.filter((_r, n) => n % 2 === 0);
    expect(named.length).greaterThan(STREAMS / 6);
    const wentOn = named.filter((r) => r.tries.some(streamCaller.isComplete));
    expect(wentOn.length).least(MIN_RELATIVE_SHARE * named.length);
  }

  it("are joined from no two versions after all entry daemons were killed at once", () =>
    playWithoutHosts(() => Promise.resolve())).timeout(60_000);

  it("go on after all daemons were killed at once, also seconds later", () =>
    play(async () => {
      await killAll(all(), 400);
      await timers.setTimeout(4200);
    })).timeout(60_000);

  it("go on after their host was killed and each endpoint daemon restarted in turn", () =>
    play(async () => {
      await killAll(site.entries.slice(0, 1), 0);
      await restartInTurn(site.endpoints, "SIGKILL", 500);
    }, 0)).timeout(60_000);

  it("go on after all daemons were stopped and started in turn", () =>
    play(() => restartInTurn(all(), "SIGTERM", 300))).timeout(60_000);

  it("go on after all daemons were killed in turn", () =>
    play(() => restartInTurn(all(), "SIGKILL", 300))).timeout(60_000);

  it("go on after all endpoint daemons were killed at once, and their host soon after", () =>
    play(async () => {
      await killAll(site.endpoints, 300);
      await timers.setTimeout(100);
      await killAll(site.entries.slice(0, 1), 400);
    }, 0)).timeout(60_000);

  it("go on after half of the endpoint daemons were paused while their host was killed", () =>
    play(async () => {
      const half = site.endpoints.slice(0, SIZE.engines / 2);
      for (const d of half) d.freeze();
      await timers.setTimeout(200);
      await killAll(site.entries.slice(0, 1), 0);
      await timers.setTimeout(2300);
      for (const d of half) d.thaw();
    }, 0)).timeout(60_000);

  it("go on after their host was killed and workers of a third version came", () =>
    play(async () => {
      await killAll(site.entries.slice(0, 1), 0);
      site.software = () => "v1.2";
      for (const p of [site.places[0], site.places[1], site.places[4], site.places[5]]) {
        if (p) await site.restart(p, p.worker.instance);
        await timers.setTimeout(200);
      }
    }, 0)).timeout(60_000);

  it("are joined from no two versions when a new version comes as all entry daemons are killed", () =>
    playWithoutHosts(async () => {
      site.software = () => "v1.3";
      for (const p of [site.places[1], site.places[5]])
        if (p) await site.restart(p, p.worker.instance);
    })).timeout(60_000);
});
