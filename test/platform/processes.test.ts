import * as child from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as chai from "chai";
import * as undici from "undici";
import * as yaml from "yaml";
import * as freePorts from "../../bench/platform/ports.js";
import * as documents from "../../bench/platform/documents.js";
import * as rawCaller from "../../bench/platform/raw-caller.js";
import * as stores from "../../bench/platform/store.js";
import * as journals from "../../bench/platform/journal.js";
import * as workers from "../../bench/platform/worker.js";
import * as script from "../../deploy/script.cjs";

const { expect } = chai;

const MAIN = path.join(import.meta.dirname, "../../deploy/launch.cjs");

/** Waits up to 10 s until a condition holds. */
async function eventually(what: () => boolean | Promise<boolean>): Promise<void> {
  for (let i = 0; i < 500; i++) {
    if (await what()) return;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error("the condition was not met within 10 s");
}

/** A configuration with one route, to the worker's service. */
function configOf(version: number, prefix: string): object {
  const route = { name: "captions", prefix, kind: "streaming" as const, service: "llm" };
  return documents.config(version, [route], [documents.engineService("llm", 2)]);
}

function headersOf(id: string, adapter: string): Readonly<Record<string, string>> {
  return {
    host: documents.HOST,
    "x-sumacfield-attempt-id": id,
    "x-sumacfield-model": `m/${adapter}`,
    "x-sumacfield-token-usage": "100,10",
    "x-sumacfield-deadline-ms": "4000",
  };
}

/** A daemon that runs as a process of its own, with the log lines it wrote. */
interface Daemon {
  readonly process: child.ChildProcess;
  readonly lines: () => readonly Readonly<Record<string, unknown>>[];
  readonly exited: Promise<number | null>;
}

function startDaemon(role: string, file: string, flags: readonly string[] = []): Daemon {
  const env = { ...process.env, SUMACFIELD_CONFIG: file, SUMACFIELD_METRICS_PORT: "0" };
  const args = [...script.FLAGS, ...flags, MAIN, role];
  const started = child.spawn(process.execPath, args, { env });
  let text = "";
  started.stdout.on("data", (part: Buffer) => {
    text += part.toString();
  });
  return {
    process: started,
    lines: () =>
      text
        .split("\n")
        .filter((l) => l.startsWith("{"))
        .map((l) => JSON.parse(l) as Readonly<Record<string, unknown>>),
    exited: new Promise((resolve) => started.once("exit", resolve)),
  };
}

describe("daemons on the platform", () => {
  const store = new stores.Store();
  const journal = journals.createJournal();
  const worker = new workers.Engine("llm", "i-1", journal, 2);
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-"));
  let ports: readonly number[] = [];
  /** A path that the configuration in force routes to the worker. */
  let route = "/c/x";
  let entry: Daemon;
  let endpoint: Daemon;

  function settingsFile(name: string, more: object): string {
    const file = path.join(folder, `${name}.yaml`);
    const bounds = {
      graceS: 4,
      drainTimeoutMs: 2000,
      retryBudgetRatio: 0.2,
      budgetWindowS: 10,
      budgetSlack: 58,
      contactMs: 3000,
    };
    const common = {
      nodeName: name,
      machineClass: "any",
      ip: "127.0.0.1",
      zone: "a",
      listen: {},
      internalPorts: [ports[2], ports[2]],
      bounds,
      platform: { address: store.address },
    };
    fs.writeFileSync(file, yaml.stringify({ ...common, ...more }));
    return file;
  }

  function ask(id: string, adapter: string, urlPath = "/c/x") {
    return undici.request(`http://127.0.0.1:${ports[0]}${urlPath}`, {
      method: "POST",
      headers: headersOf(id, adapter),
      body: "prompt",
    });
  }

  /** Waits until the entry daemon serves requests. */
  async function untilServed(): Promise<void> {
    await eventually(async () => {
      const ready = `http://127.0.0.1:${ports[1]}/-/readyz`;
      const res = await undici.request(ready).catch(() => undefined);
      await res?.body.dump();
      return res?.statusCode === 200;
    });
    // The endpoint daemon still has to connect to its worker, and the entry daemon has to learn of it.
    await eventually(async () => {
      const res = await ask("first", "a1", route);
      await res.body.dump();
      return res.statusCode === 200;
    });
  }

  before(async () => {
    await store.start();
    await worker.start();
    store.put("op/config", configOf(1, "/c/"));
    store.put(`servers/${worker.instance}`, documents.workerEntry("llm", worker.address));
    ports = await Promise.all([freePorts.findFree(), freePorts.findFree(), freePorts.findFree()]);
    const listen = { front: `127.0.0.1:${ports[0]}`, ready: `127.0.0.1:${ports[1]}` };
    entry = startDaemon("entry", settingsFile("entry-1", { listen }));
    endpoint = startDaemon(
      "endpoint",
      settingsFile("side-1", { app: worker.address, service: "llm" }),
    );
    await untilServed();
  });

  after(() => {
    entry.process.kill("SIGKILL");
    endpoint.process.kill("SIGKILL");
    store.stop();
    worker.stop();
    fs.rmSync(folder, { recursive: true });
  });

  it("serve a stream on the adapter that the request names", async () => {
    const res = await ask("r1", "a1");
    expect(res.statusCode).equal(200);
    expect(res.headers["x-sumacfield-server-signature"]).equal(worker.instance);
    const text = await res.body.text();
    expect(text.match(/data: r1 a1@1 \d/g)).length(5);
    expect(worker.adapters.has("a1")).equal(true);
  });

  it("serve more adapters than the engine has slots, one after the other", async () => {
    for (const adapter of ["a1", "a2", "a3", "a4"]) {
      const res = await ask(`s-${adapter}`, adapter);
      expect(await res.body.text()).include(`${adapter}@1 5 of 5`);
    }
    expect(worker.adapters.size).most(2);
  });

  it("apply a new configuration within two seconds", async () => {
    store.put("op/config", configOf(2, "/d/"));
    const began = performance.now();
    await eventually(async () => {
      const res = await ask("probe", "a1", "/d/x");
      await res.body.dump();
      return res.statusCode === 200;
    });
    expect(performance.now() - began).below(2000);
    const old = await ask("old", "a1", "/c/x");
    await old.body.dump();
    expect(old.statusCode).equal(404);
  });

  it("lose no requests because of entries that cannot be decoded", async () => {
    const bad = [
      { address: "nowhere" },
      { ...documents.workerEntry("llm", "10.0.0.1"), born: null },
      [],
    ];
    for (const [n, entry] of bad.entries()) store.put(`servers/i-bad-${n}`, entry);
    // A configuration written after them is in force, so the entries have been read.
    store.put("op/config", configOf(3, "/d/"));
    const began = performance.now();
    await eventually(() => entry.lines().some((l) => l.part === "feed" && l.version === 3));
    expect(performance.now() - began).below(2000);
    const all = await Promise.all(Array.from({ length: 10 }, (_, i) => ask(`f${i}`, "a1", "/d/x")));
    expect(all.map((res) => res.statusCode)).deep.equal(new Array<number>(10).fill(200));
    await Promise.all(all.map((res) => res.body.dump()));
    expect(entry.lines().filter((l) => l.msg === "A document cannot be read.")).length(bad.length);
  });

  it("count requests, and log a line for each", async () => {
    const served = entry.lines().find((l) => l.msg === "The metrics are served.");
    const figures = await undici.request(`http://127.0.0.1:${String(served?.port)}/metrics`);
    const text = await figures.body.text();
    expect(text).match(/sumacfield_requests_total\{route="captions",ending="whole"\} \d/);
    expect(text).match(/sumacfield_first_event_ms_bucket\{le="1000",route="captions"\} \d/);
    await eventually(() =>
      entry.lines().some((l) => l.msg === "A request has ended." && l.request === "r1"),
    );
    const ended = entry.lines().find((l) => l.request === "r1");
    expect(ended).include({ ending: "whole", endpoint: worker.instance, sends: 1 });
    await eventually(() => endpoint.lines().some((l) => l.request === "r1"));
  });

  it("reload their settings on SIGHUP, and keep the previous ones when the file is invalid", async () => {
    const file = path.join(folder, "entry-1.yaml");
    const whole = fs.readFileSync(file, "utf8");
    entry.process.kill("SIGHUP");
    await eventually(() => entry.lines().some((l) => l.msg === "The settings were reloaded."));
    fs.writeFileSync(file, "nodeName: [");
    entry.process.kill("SIGHUP");
    await eventually(() =>
      entry.lines().some((l) => String(l.msg).startsWith("The settings cannot")),
    );
    fs.writeFileSync(file, whole);
  });

  it("exit with the usage code when the settings are invalid", async () => {
    const file = path.join(folder, "broken.yaml");
    fs.writeFileSync(file, "nodeName: x");
    const broken = startDaemon("entry", file);
    expect(await broken.exited).equal(2);
  });

  it("finish requests in flight before they stop", async () => {
    worker.eventMs = 150;
    const res = await ask("last", "a1", "/d/x");
    entry.process.kill("SIGTERM");
    const text = await res.body.text();
    expect(text.match(/data: last a1@1 \d/g)).length(5);
    expect(await entry.exited).equal(0);
    expect(entry.lines().at(-1)).include({ msg: "Stopped." });
  }).timeout(10_000);

  it("finish requests in flight when a second SIGTERM arrives", async () => {
    entry = startDaemon("entry", path.join(folder, "entry-1.yaml"));
    route = "/d/x";
    await untilServed();
    worker.eventMs = 150;
    const res = await ask("again", "a1", route);
    entry.process.kill("SIGTERM");
    await new Promise((resolve) => setTimeout(resolve, 200));
    entry.process.kill("SIGTERM");
    const text = await res.body.text();
    expect(text.match(/data: again a1@1 \d/g)).length(5);
    expect(await entry.exited).equal(0);
  }).timeout(10_000);

  /** Has a request wait for the start of an entry daemon that gets SIGTERM `signals` times meanwhile. */
  async function checkStopInStart(signals: number): Promise<void> {
    entry = startDaemon("entry", path.join(folder, "entry-1.yaml"));
    let socket: net.Socket | undefined;
    await eventually(() => {
      const next = net.connect(ports[0] ?? 0, "127.0.0.1");
      next.on("error", () => undefined);
      next.once("connect", () => (socket ??= next));
      return socket !== undefined;
    });
    const head = Object.entries(headersOf("early", "a1")).map(
      ([name, value]) => `${name}: ${value}`,
    );
    socket?.write(`GET ${route} HTTP/1.1\r\n${head.join("\r\n")}\r\n\r\n`);
    let text = "";
    socket?.on("data", (part: Buffer) => (text += part.toString()));
    for (let n = 0; n < signals; n++) {
      entry.process.kill("SIGTERM");
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    expect(await entry.exited).equal(0);
    expect(text).match(/^HTTP\/1.1 (200|503) /);
  }

  // Guards against requests that are dropped because their host gets SIGTERM while it starts.
  it("answer requests that wait for their start when they are stopped meanwhile", () =>
    checkStopInStart(1)).timeout(10_000);

  it("answer requests that wait for their start when they get SIGTERM again and again meanwhile", () =>
    checkStopInStart(40)).timeout(10_000);

  it("show an HTTP/1.0 caller that its answer is cut when an uncaught error ends them", async () => {
    const hook = path.join(import.meta.dirname, "uncaught.cjs");
    entry = startDaemon("entry", path.join(folder, "entry-1.yaml"), ["--require", hook]);
    await untilServed();
    worker.eventMs = 400;
    const headers = headersOf("cut", "a1");
    const req = { version: "1.0", path: route, headers, body: "prompt" } as const;
    const received = rawCaller.send(`127.0.0.1:${ports[0]}`, req);
    await eventually(() => journal.runs.some((r) => r.id === "cut"));
    await new Promise((resolve) => setTimeout(resolve, 600));
    entry.process.kill("SIGUSR2");
    const { body, end } = await received;
    expect(await entry.exited).equal(1);
    expect(body).match(/^id: 1\ndata: cut a1/);
    expect(end).equal("cut");
  }).timeout(10_000);
});

describe("the bundle", () => {
  const args = (more: readonly string[]): readonly string[] => [...more, MAIN, "no-role"];
  const noSettings = { ...process.env, SUMACFIELD_CONFIG: "" };

  it("runs from its code cache under the flags of the deploy file", () => {
    const text = fs.readFileSync("deploy/system.toml", "utf8");
    const flags = [...text.matchAll(/^run = "node (.*) target/gm)].map((m) => m[1]);
    expect(flags).deep.equal([script.FLAGS.join(" "), script.FLAGS.join(" ")]);
    const run = child.spawnSync(process.execPath, args(script.FLAGS), { env: noSettings });
    expect(run.stderr.toString()).match(/^sumacfield: SUMACFIELD_CONFIG does not name/);
    expect(run.status).equal(2);
  });

  it("runs under other flags too, and reports that the code cache was rejected", () => {
    const run = child.spawnSync(process.execPath, args([]), { env: noSettings });
    expect(run.stderr.toString()).match(/other flags\nsumacfield: SUMACFIELD_CONFIG/);
  });

  it("survives SIGHUP before its code is loaded", () => {
    const hook = path.join(import.meta.dirname, "hang-up.cjs");
    const flags = [...script.FLAGS, "--require", hook];
    const run = child.spawnSync(process.execPath, args(flags), { env: noSettings });
    expect([run.signal, run.status]).deep.equal([null, 2]);
  });
});
