import * as chai from "chai";
import * as undici from "undici";
import * as declare from "../bench/declare.js";
import * as rawCaller from "../bench/platform/raw-caller.js";
import * as site from "../bench/site.js";
import * as processes from "../src/demo/process.js";
import * as control from "../src/link/control.js";
import * as clock from "../src/host/clock.js";

const { expect } = chai;

/** Starts a site whose endpoint daemons are separate processes, which can be killed and frozen. */
async function start(): Promise<{
  readonly s: site.Site;
  readonly daemons: processes.DemoProcess[];
}> {
  const s = await site.Site.start({ engines: 0, objects: objects() });
  const daemons: processes.DemoProcess[] = [];
  for (let i = 0; i < 2; i++) {
    const engine = await s.engineAlone(i);
    const backendUrl = engine.url;
    const cfg = s.config(`engine-${i}`, s.domainOf(i), { backendUrl });
    const daemon = await processes.startDaemon("endpoint", `engine-${i}`, environmentOf(cfg));
    daemons.push(daemon);
    const address = daemon.addresses[0] ?? "";
    const name = `engine-${i}`;
    s.list.hosts.put({
      name,
      role: "endpoint",
      failureDomain: s.domainOf(i),
      address,
      leaving: false,
    });
  }
  await site.until(() =>
    daemons.every((d) => s.entries[0]?.views.get(d.name)?.news?.state === "serving"),
  );
  return { s, daemons };
}

/** The environment variables of a daemon's settings. */
function environmentOf(cfg: Readonly<Record<string, string>>): NodeJS.ProcessEnv {
  const env: NodeJS.ProcessEnv = {};
  for (const [k, v] of Object.entries(cfg))
    env[`SUMACFIELD_${k.replaceAll(/[A-Z]/g, (c) => `_${c}`).toUpperCase()}`] = v;
  return { ...env, SUMACFIELD_LOG_LEVEL: "info" };
}

function objects() {
  return [0, 1].flatMap((i) => [
    site.host(`host-${i}`, ["qld-se-a", "qld-se-b"][i] ?? ""),
    site.engineAt(`engine-${i}`, `host-${i}`),
  ]);
}

/** Waits until an engine has run a request, and returns the daemon of that engine. */
async function runningDaemon(
  s: site.Site,
  daemons: readonly processes.DemoProcess[],
): Promise<processes.DemoProcess> {
  const engineIndex = (): number =>
    s.engines.findIndex((e) => e.engine.journal.some((j) => j.kind === "run"));
  await site.until(() => engineIndex() >= 0);
  const found = daemons[engineIndex()];
  if (!found) throw new Error("no daemon belongs to the engine that runs the request");
  return found;
}

describe("daemon processes", () => {
  let s: site.Site;
  let daemons: readonly processes.DemoProcess[];
  beforeEach(async () => {
    ({ s, daemons } = await start());
  });
  afterEach(async () => {
    await processes.killAll();
    await s.stop();
  });

  it("a killed endpoint daemon costs no repeatable request", async () => {
    const asked = s.ask("captions@1", { tokens: 300, prompt: "p" });
    (await runningDaemon(s, daemons)).signal("SIGKILL");
    const a = await asked;
    expect(a.status, a.text).equal(200);
    expect(site.textOf(a).startsWith("captions@1:p:0 ")).equal(true);
  });

  it("a frozen endpoint daemon costs no repeatable request", async () => {
    const asked = s.ask("captions@1", { tokens: 300, prompt: "p" });
    (await runningDaemon(s, daemons)).signal("SIGSTOP");
    const a = await asked;
    expect(a.status, a.text).equal(200);
  });

  it("a request not to be repeated at a frozen endpoint daemon ends as unknown, and runs once", async () => {
    const headers = { "sumacfield-repeat": "never" };
    const asked = s.ask("captions@1", { tokens: 300, prompt: "p", headers });
    const frozen = await runningDaemon(s, daemons);
    frozen.signal("SIGSTOP");
    const a = await asked;
    expect(site.errorOf(a).outcome).equal("unknown");
    frozen.signal("SIGCONT");
    await site.until(() => s.journal().some((e) => e.kind === "finish" || e.kind === "run"));
    expect(s.journal().filter((e) => e.kind === "run")).length(1);
  });

  it("a daemon that was told to stop ends by itself, and a second signal ends it at once", async () => {
    const asked = s.ask("captions@1", { tokens: 300, prompt: "p", stream: true });
    const leaving = await runningDaemon(s, daemons);
    const other = daemons.find((d) => d !== leaving);
    leaving.signal("SIGTERM");
    const a = await asked;
    expect(a.text.endsWith("data: [DONE]\n\n")).equal(true);
    expect(await leaving.ended).equal(0);
    other?.signal("SIGTERM");
    await new Promise((r) => setTimeout(r, 20));
    other?.signal("SIGTERM");
    expect(await other?.ended).oneOf([0, 1]);
  });

  it("an entry daemon that a second signal ends shows an HTTP/1.0 caller that its stream is cut", async () => {
    const cfg = s.config("entry-9", s.domainOf(0), {});
    const daemon = await processes.startDaemon("entry", "entry-9", environmentOf(cfg));
    const send = (tokens: number) =>
      rawCaller.send(daemon.addresses[0] ?? "", {
        version: "1.0",
        path: "/v1/completions",
        headers: { host: "x", authorization: `Bearer ${declare.callerKey("wattle")}` },
        body: JSON.stringify({
          model: "captions@1",
          prompt: "p",
          max_tokens: tokens,
          stream: true,
        }),
      });
    for (let n = 0, status = 0; status !== 200; n++) {
      if (n > 100) throw new Error("the entry daemon does not serve");
      await new Promise((r) => setTimeout(r, 50));
      ({ status } = await send(1));
    }
    const runs = (): number => s.journal().filter((j) => j.kind === "run").length;
    const before = runs();
    const received = send(1500);
    await site.until(() => runs() > before);
    await new Promise((r) => setTimeout(r, 200));
    daemon.signal("SIGTERM");
    await new Promise((r) => setTimeout(r, 100));
    daemon.signal("SIGTERM");
    const { body, end } = await received;
    expect(await daemon.ended).equal(1);
    expect(body).include("data: ").not.include("[DONE]");
    expect(end).equal("cut");
  });
});

describe("control calls", () => {
  it("are refused unless signed with the cluster's key", async () => {
    const s = await site.Site.start({ engines: 1 });
    try {
      const linkAddress = s.endpoints[0]?.linkAddress ?? "";
      const stranger = control.connect(
        linkAddress,
        "engine-0",
        ["another-key-00001"],
        clock.system,
        500,
        {
          bytes: 0,
        },
      );
      const epoch = s.endpoints[0]?.parts.epoch ?? "";
      const refused: unknown = await stranger.cancel
        .mutate({ attempt: "a", epoch })
        .catch((err: unknown) => err);
      expect(String(refused)).include("signed with another key");
      for (const path of ["/run", "/control/news", "/control/learn", "/other"]) {
        const res = await undici.request(`http://${linkAddress}${path}`, {
          method: "POST",
          body: "{}",
        });
        await res.body.dump();
        expect(res.statusCode, path).equal(401);
      }
    } finally {
      await s.stop();
    }
  });
});
