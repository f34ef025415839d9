import * as timers from "node:timers/promises";
import * as chai from "chai";
import * as rawConnection from "./stopping/raw-connection.js";
import * as sites from "./unruly/site.js";

const { expect } = chai;

const GRACE_S = 8;
/** Milliseconds from the signal within which a host that has nothing left to do must have ended. */
const STOPPED_MS = GRACE_S * 1000;

/** Runs a test beside an entry daemon of its own. */
async function withHost(
  workMs: () => number,
  test: (site: sites.Site) => Promise<void>,
): Promise<void> {
  const site = new sites.Site({ graceS: GRACE_S });
  try {
    await site.open();
    site.startDaemon();
    await site.served();
    site.workMs = workMs;
    await test(site);
    await site.waitForEnd(STOPPED_MS);
    expect(site.ended, "how the host ended").equal("exit code 0");
  } finally {
    site.close();
  }
}

/** How a connection is used before the signal. */
type Before = "unused" | "half a head sent" | "one response received";

async function connect(port: number, before: Before, text: string) {
  const connection = new rawConnection.RawConnection(port);
  switch (before) {
    case "unused":
      break;
    case "half a head sent":
      connection.send(text.slice(0, 20));
      break;
    case "one response received":
      connection.send(rawConnection.requestText("/p/x", `${before}-first`));
      while (connection.responses.length === 0) await timers.setTimeout(10);
      connection.responses.length = 0;
      break;
  }
  return {
    connection,
    sendRest: () => connection.send(before === "half a head sent" ? text.slice(20) : text),
  };
}

/** Milliseconds after the signal at which a request is sent late in a stop. */
const LATE_MS = [2700, 2900, 3100, 3400] as const;

async function playLate(site: sites.Site, before: Before): Promise<void> {
  const opened = await Promise.all(
    LATE_MS.map(async (ms) => {
      const id = `late-${ms}`;
      const text = rawConnection.requestText("/p/x", id);
      return { id, ms, ...(await connect(site.port, before, text)) };
    }),
  );
  await timers.setTimeout(1600);
  const signalAt = performance.now();
  site.signal("SIGTERM");
  for (const { ms, sendRest } of opened) {
    await timers.setTimeout(Math.max(0, signalAt + ms - performance.now()));
    sendRest();
  }
  await site.waitForEnd(STOPPED_MS);
  const lost = opened.filter(
    ({ id, connection }) =>
      site.received.has(id) && !connection.responses.some((r) => r.status === 200 && r.id === id),
  );
  expect(
    lost.map(({ id }) => id),
    "ran, and got no answer",
  ).deep.equal([]);
}

const CALLERS = 40;
const AHEAD = 3;

/** A caller that keeps some requests under way on one connection after another. Returns what it has lost. */
class PipeliningCaller {
  /** Requests that were sent and whose connection ended without their answers. */
  readonly unanswered: string[] = [];
  sent = 0;
  private isStopped = false;
  private connection: rawConnection.RawConnection | undefined;

  constructor(
    private readonly port: number,
    private readonly path: string,
    private readonly name: string,
  ) {}

  start(): void {
    const open: string[] = [];
    const connection = new rawConnection.RawConnection(this.port);
    this.connection = connection;
    const send = (): void => {
      const id = `${this.name}-${this.sent}`;
      if (!connection.send(rawConnection.requestText(this.path, id))) return;
      this.sent++;
      open.push(id);
    };
    connection.onResponse = () => {
      open.shift();
      if (!connection.responses.at(-1)?.announcesClose) send();
    };
    connection.onEnd = () => {
      this.unanswered.push(...open);
      connection.close();
      if (!this.isStopped)
        setTimeout(() => {
          this.start();
        }, 20);
    };
    for (let n = 0; n < AHEAD; n++) send();
  }

  stop(): void {
    this.isStopped = true;
    this.connection?.close();
  }
}

async function playPipelined(site: sites.Site, path: string): Promise<void> {
  const callers = Array.from(
    { length: CALLERS },
    (_, n) => new PipeliningCaller(site.port, path, `c${n}`),
  );
  for (const caller of callers) caller.start();
  await timers.setTimeout(1500);
  site.signal("SIGTERM");
  await site.waitForEnd(STOPPED_MS + 1000);
  for (const caller of callers) caller.stop();
  const lost = callers.flatMap((c) => c.unanswered).filter((id) => site.received.has(id));
  expect(callers.reduce((sum, c) => sum + c.sent, 0)).above(CALLERS * AHEAD);
  expect(lost, "ran, and got no answer").deep.equal([]);
}

describe("a host that stops", function () {
  this.timeout(40_000);

  // Guards against requests that run and are cut because the host ends while they are open.
  for (const before of ["unused", "half a head sent", "one response received"] as const)
    it(`answers what it passes on late in the stop, on connections with ${before}`, () =>
      withHost(
        () => 1500,
        (site) => playLate(site, before),
      ));

  // Guards against a close that is announced before the last request that is taken.
  it("answers all calls that it passes on for callers that send ahead", () =>
    withHost(
      () => 20 + 60 * Math.random(),
      (site) => playPipelined(site, "/p/x"),
    ));

  it("answers all streams that it passes on for callers that send ahead", () =>
    withHost(
      () => 180,
      (site) => playPipelined(site, "/s/x"),
    ));
});
