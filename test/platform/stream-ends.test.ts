import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as documents from "../../bench/platform/documents.js";
import * as rawCaller from "../../bench/platform/raw-caller.js";
import * as bases from "../../bench/platform/worker-base.js";
import * as workers from "../../bench/platform/worker.js";
import * as soak from "../../bench/soak/site.js";
import * as asking from "./asking.js";
import * as startup from "./startup.js";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");
const REQUESTS = 12;
/** Milliseconds that callers wait for their streams. */
const WAIT_MS = 3000;

/** Sends a stream request over a connection of its own. */
function receive(
  address: string,
  version: rawCaller.Version,
  prefix: string,
  id: string,
  afterwards = "",
  waitMs = WAIT_MS,
): Promise<rawCaller.Received> {
  const headers = {
    host: documents.HOST,
    "x-sumacfield-attempt-id": id,
    "x-sumacfield-deadline-ms": String(waitMs),
    "x-sumacfield-model": "m/a1",
    "x-sumacfield-token-usage": "100,10",
  };
  return rawCaller.send(address, { version, path: `${prefix}x`, headers, body: "x", afterwards });
}

function wholeStream(id: string): string {
  const ids = Array.from({ length: workers.EVENTS_PER_STREAM }, (_, i) => i + 1);
  return ids.map((n) => workers.eventText(id, "a1", 1, n)).join("");
}

describe("a stream that ends with its connection", () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  const faults: string[] = [];
  const site = new soak.Site({ entries: 2, engines: 2, plain: 1 }, MAIN, folder, (what) =>
    faults.push(what),
  );
  const engines = (): readonly workers.Engine[] =>
    site.places.flatMap(({ worker }) => (worker instanceof workers.Engine ? [worker] : []));

  /** Sends requests one after the other to the entry hosts in turn; returns what each received. */
  async function receiveAll(
    version: rawCaller.Version,
    prefix: string,
  ): Promise<readonly rawCaller.Received[]> {
    const all: rawCaller.Received[] = [];
    for (let n = 0; n < REQUESTS; n++) {
      const address = site.entries[n % site.entries.length]?.callers ?? "";
      all.push(await receive(address, version, prefix, `r${version}${prefix}${n}`));
    }
    return all;
  }

  /** Indices of the answers that look complete but are not. */
  function falselyComplete(
    all: readonly rawCaller.Received[],
    version: rawCaller.Version,
    prefix: string,
  ): readonly number[] {
    return all.flatMap(({ status, body, end }, n) =>
      status === 200 && end === "complete" && body !== wholeStream(`r${version}${prefix}${n}`)
        ? [n]
        : [],
    );
  }

  function setBehavior(behavior: bases.Behavior, faultyShare: number): void {
    for (const e of engines()) Object.assign(e, { behavior, faultyShare });
  }

  async function untilServed(): Promise<void> {
    await startup.untilServed(4, async (n) => {
      const id = `ordinary${performance.now()}`;
      const req = { id, entry: n, prefix: "/s/", body: "x", adapter: "a1" };
      return (await asking.requestStatus(site, req)) === 200;
    });
  }

  before(async () => {
    site.framing = () => "close";
    await site.start();
    await untilServed();
  });

  afterEach(() => {
    setBehavior("well", 1);
  });

  after(async () => {
    await site.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it("reaches its caller complete when the connection closes between two events", async () => {
    const all = await receiveAll("1.1", "/o/");
    expect(all.map((a) => a.end)).deep.equal(all.map(() => "complete"));
    expect(falselyComplete(all, "1.1", "/o/")).deep.equal([]);
  });

  it("reaches no caller as complete when a normal close cuts it inside an event", async () => {
    setBehavior("breaking", 0.5);
    const resumable = await receiveAll("1.1", "/s/");
    setBehavior("breaking", 1);
    const single = await receiveAll("1.1", "/o/");
    expect(falselyComplete(resumable, "1.1", "/s/")).deep.equal([]);
    expect(falselyComplete(single, "1.1", "/o/")).deep.equal([]);
    expect(single.map((a) => a.end)).deep.equal(single.map(() => "cut"));
  }).timeout(30_000);

  it("reaches no HTTP/1.0 caller as complete when it is cut", async () => {
    setBehavior("breaking", 1);
    const all = await receiveAll("1.0", "/o/");
    expect(falselyComplete(all, "1.0", "/o/")).deep.equal([]);
    expect(all.map((a) => a.end)).deep.equal(all.map(() => "cut"));
  }).timeout(30_000);

  it("reaches no HTTP/1.0 caller as complete when its daemon stops before it ends", async () => {
    const [entry] = site.entries;
    for (const e of engines()) e.eventMs = 1000;
    const stopped = entry?.stop();
    // So late that its caller still waits when the grace ends, while the daemon still accepts connections.
    await timers.setTimeout(1500);
    const { body, end } = await receive(entry?.callers ?? "", "1.0", "/o/", "stopped", "", 4000);
    await stopped;
    entry?.start();
    for (const e of engines()) e.eventMs = soak.EVENT_MS;
    await site.untilReady();
    expect(body).match(/^id: 1\ndata: stopped /);
    expect([body === wholeStream("stopped"), end]).deep.equal([false, "cut"]);
  }).timeout(30_000);

  it("reaches its caller whole though its next bytes are no request", async () => {
    const id = "before-garbage";
    const address = site.entries[0]?.callers ?? "";
    const rest = "\0garbage\r\n\r\n";
    for (const version of ["1.0", "1.1"] as const) {
      const received = await receive(address, version, "/o/", id + version, rest);
      const { status, body, end } = received;
      expect([status, body, end]).deep.equal([200, wholeStream(id + version), "complete"]);
    }
  });

  it("is sent to no worker after three that it crashed closed their connections normally", async () => {
    const statuses: number[] = [];
    const askFatal = async (n: number): Promise<number> =>
      asking
        .requestStatus(site, {
          id: `fatal${n}`,
          entry: n,
          prefix: "/s/",
          body: bases.CRASH_MARKER,
          adapter: "a1",
        })
        // A stream that is visibly broken off has no status of its own here.
        .catch(() => 0);
    for (let n = 0; n < 8; n++) {
      statuses.push(await askFatal(n));
      await timers.setTimeout(soak.BACK_MS / 4);
    }
    await timers.setTimeout(soak.BACK_MS);
    await untilServed();
    expect(statuses).not.include(200);
    expect([await askFatal(8), await askFatal(9)]).deep.equal([503, 503]);
    expect(site.journal.crashes.length).within(1, 3);
    expect(faults).deep.equal([]);
  }).timeout(40_000);
});
