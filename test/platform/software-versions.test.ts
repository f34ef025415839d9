import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as workers from "../../bench/platform/worker.js";
import type * as daemons from "../../bench/soak/daemon.js";
import * as soak from "../../bench/soak/site.js";
import * as streamCaller from "./stream-caller.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
const STREAMS = 32;
/** Streams that are open at the same time while workers break off. */
const AT_ONCE = 4;
const VERSION_COUNT = 2;
const WORKERS_EACH = 3;
const ADAPTERS = 10;
/** Milliseconds between two events of a stream that its host's end cuts off, and from its sending to that end. */
const SLOW_EVENT_MS = 350;
const CUT_AFTER_MS = 1300;
/** Milliseconds from the resumption of such a stream to the end of the next host. */
const CUT_AGAIN_AFTER_MS = 550;
/** Milliseconds after which all hosts know that a worker leaves. */
const LEAVING_KNOWN_MS = 1500;
/** Milliseconds from SIGTERM to the kill of a host, and from its freeze until its callers hang up. */
const STOPPED_MS = 200;
const FROZEN_MS = 400;

describe("streams before workers of two software versions", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const site = new soak.Site(
    { entries: 3, engines: VERSION_COUNT * WORKERS_EACH, plain: 0, slots: ADAPTERS },
    MAIN,
    folder,
    (what) => faults.push(what),
  );
  const engines = (): readonly workers.Engine[] =>
    site.places.flatMap(({ worker }) => (worker instanceof workers.Engine ? [worker] : []));
  const caller = new streamCaller.StreamCaller(site, { prefix: "/s/", waitMs: 4000, name: "v" });

  /** One worker of each version. */
  const leavers = (): readonly soak.Place[] =>
    [0, VERSION_COUNT * WORKERS_EACH - 1].flatMap((i) => site.places[i] ?? []);

  const adapterOf = (n: number): string => `a${n % ADAPTERS}`;

  async function untilServed(): Promise<void> {
    await startup.untilServed(2 * site.entries.length, async (n) =>
      streamCaller.isComplete(await caller.send(n, adapterOf(n))),
    );
  }

  /** Begins streams at entry host 0, whose callers may hang up. */
  const beginAtFirst = (hangsUp?: AbortSignal): readonly Promise<streamCaller.Attempt>[] =>
    Array.from({ length: STREAMS }, (_, n) => caller.send(0, adapterOf(n), undefined, hangsUp));

  /**
   * Streams of entry host 0, whose process is killed while they run; those that had brought an event. A worker of each version
   * leaves with it, so that many adapters move to others.
   */
  async function cutByKill(): Promise<readonly streamCaller.Attempt[]> {
    const begun = await killDuring(0, CUT_AFTER_MS, beginAtFirst);
    for (const place of leavers()) site.leave(place);
    const cut = await Promise.all(begun);
    await timers.setTimeout(LEAVING_KNOWN_MS);
    return cut.filter((a) => streamCaller.isCut(a));
  }

  /** Starts slow streams, and kills an entry host `ms` later, or ends it otherwise. */
  async function killDuring(
    entry: number,
    ms: number,
    begin: () => readonly Promise<streamCaller.Attempt>[],
    end = (d: daemons.Daemon): Promise<void> => d.kill(),
  ): Promise<readonly Promise<streamCaller.Attempt>[]> {
    for (const e of engines()) e.eventMs = SLOW_EVENT_MS;
    const begun = begin();
    await timers.setTimeout(ms);
    const host = site.entries[entry];
    if (host) await end(host);
    for (const e of engines()) e.eventMs = soak.EVENT_MS;
    return begun;
  }

  /** The callers' second attempts at other hosts. */
  function takeUp(cut: readonly streamCaller.Attempt[]): Promise<readonly streamCaller.Attempt[]> {
    return Promise.all(
      cut.map((a, n) =>
        caller.send(1 + (n % 2), a.adapter, { after: streamCaller.eventCount(a), resumes: a.id }),
      ),
    );
  }

  const wentOn = (all: readonly streamCaller.Attempt[]): number =>
    all.filter(streamCaller.isComplete).length;

  const mixed = (
    first: readonly streamCaller.Attempt[],
    then: readonly streamCaller.Attempt[],
  ): readonly string[] =>
    first.flatMap((a, n) => (streamCaller.versionsOf(a, then[n]).size > 1 ? [a.id] : []));

  /** Resumes the streams that were cut, of some that began, at other hosts, and expects most to go on at their version. */
  async function expectToGoOn(begun: readonly streamCaller.Attempt[]): Promise<void> {
    const cut = begun.filter(streamCaller.isCut);
    const then = await takeUp(cut);
    expect(cut.length).greaterThan(STREAMS / 2);
    expect(mixed(cut, then)).deep.equal([]);
    expect(wentOn(then)).least(cut.length / 2);
  }

  before(async () => {
    site.software = (place) => (Number(place.split("-")[1]) < WORKERS_EACH ? "v1" : "v1.1");
    await site.start();
    await untilServed();
  });

  afterEach(async () => {
    for (const e of engines()) e.behavior = "well";
    for (const place of leavers()) await site.restart(place, place.worker.instance);
    for (const d of site.entries) {
      d.thaw();
      d.start();
    }
    await site.untilReady();
    await untilServed();
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it("mix no two versions in one answer when their workers break off", async () => {
    for (const e of engines()) Object.assign(e, { behavior: "breaking", faultyShare: 0.5 });
    const all: streamCaller.Attempt[] = [];
    for (let n = 0; n < 2 * STREAMS; n += AT_ONCE) {
      const batch = Array.from({ length: AT_ONCE }, (_, i) => caller.send(n + i, adapterOf(n + i)));
      all.push(...(await Promise.all(batch)));
    }
    const runsOf = (id: string): number => site.journal.runs.filter((r) => r.id === id).length;
    expect(all.filter((a) => streamCaller.versionsOf(a).size > 1).map((a) => a.id)).deep.equal([]);
    expect(wentOn(all.filter((a) => runsOf(a.id) > 1))).greaterThan(0);
  }).timeout(40_000);

  it("go on only at the version that began them when their host was killed", async () => {
    await expectToGoOn(await cutByKill());
  }).timeout(40_000);

  it("go on at the version that began them when two hosts are killed, one after the other", async () => {
    const cut = await cutByKill();
    const resumed = await killDuring(1, CUT_AGAIN_AFTER_MS, () =>
      cut.map((a) =>
        caller.send(1, a.adapter, { after: streamCaller.eventCount(a), resumes: a.id }),
      ),
    );
    const second = await Promise.all(resumed);
    const then = await Promise.all(
      cut.map((a, n) => {
        const middle = second[n];
        const after = streamCaller.eventCount(a) + (middle ? streamCaller.eventCount(middle) : 0);
        return caller.send(2, a.adapter, { after, resumes: a.id });
      }),
    );
    const brought = second.filter((a) => streamCaller.isCut(a));
    expect(brought.length).greaterThan(0);
    expect(
      cut.filter((a, n) => streamCaller.versionsOf(a, second[n], then[n]).size > 1),
    ).deep.equal([]);
    expect(wentOn(then)).least(cut.length / 2);
  }).timeout(40_000);

  it("go on at the version that began them when their host was stopped and killed before they ended", async () => {
    const begun = await killDuring(0, CUT_AFTER_MS, beginAtFirst, async (d) => {
      const stopped = d.stop();
      await timers.setTimeout(STOPPED_MS);
      await d.kill();
      await stopped;
    });
    await expectToGoOn(await Promise.all(begun));
  }).timeout(40_000);

  it("go on at the version that began them while their host is frozen", async () => {
    const callers = new AbortController();
    const begun = await killDuring(
      0,
      CUT_AFTER_MS,
      () => beginAtFirst(callers.signal),
      async (d) => {
        d.freeze();
        await timers.setTimeout(FROZEN_MS);
        callers.abort();
      },
    );
    await expectToGoOn(await Promise.all(begun));
  }).timeout(40_000);

  it("are not run where nobody knows which version began them", async () => {
    const tries: streamCaller.Attempt[] = [];
    for (let n = 0; n < ADAPTERS; n++) {
      tries.push(await caller.send(n, adapterOf(n), { after: 2 }));
      tries.push(await caller.send(n, adapterOf(n), { after: 2, resumes: "nobody" }));
    }
    const ids = new Set(tries.map((a) => a.id));
    expect(site.journal.runs.filter((r) => ids.has(r.id)).map((r) => r.id)).deep.equal([]);
    expect(tries.map((a) => a.received.status)).deep.equal(tries.map(() => 503));
  }).timeout(40_000);
});
