/* global fetch, performance, process, setTimeout, AbortSignal */
/**
 * Parts that the scripts share: the record, free ports, the daemons as processes, a caller on a kept connection.
 * @module
 */
import * as child from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
export const HOST = "case.example";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes lines with the seconds since the start to `record.txt` in the folder of the case. */
export function openRecord(moduleUrl) {
  const file = path.join(path.dirname(url.fileURLToPath(moduleUrl)), "record.txt");
  fs.writeFileSync(file, "");
  return (line) => {
    fs.appendFileSync(file, `${(performance.now() / 1000).toFixed(3)} ${line}\n`);
  };
}

export async function freePort() {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The bounds of the deployment wattle-bcast, which its settings and its site file state. */
const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackTimeoutMs: 4000,
  catchUpS: 4,
  drainTimeoutMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 58,
  recoveryS: 12,
  passMs: 120,
  retryAfterS: 0,
  fencingRequired: true,
  leaseTtlMs: 3000,
  thawMs: 300,
  ceilingWindowS: 5,
  ceilingOverage: 1.1,
  version_ms: 5000,
};

/** An entry daemon, started with the command of the deploy file. */
export class Entry {
  static async create(name, storeAddress, record) {
    const e = new Entry();
    Object.assign(e, { name, record, exits: [] });
    e.folder = fs.mkdtempSync(path.join(os.tmpdir(), "case-"));
    e.front = await freePort();
    e.ready = await freePort();
    const seats = await freePort();
    const settings = {
      nodeName: name,
      role: "entry",
      machineClass: "edge",
      serves: ["edge"],
      ip: "127.0.0.1",
      zone: "z",
      region: "r",
      zones: { z: "r" },
      listen: { front: `127.0.0.1:${e.front}`, ready: `127.0.0.1:${e.ready}` },
      internalPorts: [seats, seats],
      bootstrap: true,
      limits: { cpuShare: 1, cpuCores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
      dataDir: null,
      discovery: "platform",
      heartbeatMs: 1200,
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: "kv",
        writesPerS: 400,
        readsPerS: 2000,
        historyS: 20,
        valueBytes: 1048576,
        minTtlMs: 1000,
      },
    };
    e.file = path.join(e.folder, "boot.yaml");
    // The lines of the example on the platform's page; JSON values are valid YAML.
    const lines = Object.entries(settings).map(([key, value]) =>
      key === "listen"
        ? `listen:\n  front: "${value.front}"\n  ready: "${value.ready}"`
        : `${key}: ${JSON.stringify(value)}`,
    );
    fs.writeFileSync(e.file, `${lines.join("\n")}\n`);
    return e;
  }

  start() {
    const log = fs.openSync(path.join(this.folder, "log"), "a");
    const args = ["--max-old-space-size=160", "target/deploy/launch.cjs", "entry"];
    this.process = child.spawn("node", args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? "/tmp",
        SUMACFIELD_CONFIG: this.file,
        SUMACFIELD_METRICS_PORT: "0",
      },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.process.once("exit", (code, signal) => {
      this.exits.push(code ?? signal);
      this.record(`${this.name} ended: ${code ?? signal}`);
    });
  }

  get isRunning() {
    return this.exits.length === 0;
  }

  async untilReady() {
    for (let i = 0; i < 500; i++) {
      if (await this.isReady()) return;
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready after 25 s`);
  }

  async isReady() {
    try {
      const signal = AbortSignal.timeout(1000);
      const res = await fetch(`http://127.0.0.1:${this.ready}/-/readyz`, { signal });
      return res.status === 200;
    } catch {
      return false;
    }
  }

  /** Megabytes of memory that it has resident; 0 once it has ended. */
  residentMb() {
    try {
      const status = fs.readFileSync(`/proc/${this.process.pid}/status`, "utf8");
      return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024);
    } catch {
      return 0;
    }
  }

  /** The end of its log that is not made of its usual lines. */
  stackTrace() {
    const text = fs.readFileSync(path.join(this.folder, "log"), "utf8");
    return text.split("\n").filter((line) => line !== "" && !line.startsWith("{"));
  }

  /** The lines of its log that warn. */
  warnings() {
    const text = fs.readFileSync(path.join(this.folder, "log"), "utf8");
    return text.split("\n").filter((line) => line.includes('"level":"warn"'));
  }

  async end() {
    if (this.process && this.isRunning) {
      const ended = new Promise((resolve) => this.process.once("exit", resolve));
      this.process.kill("SIGKILL");
      await ended;
    }
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A requester with one kept connection to an entry daemon. */
export class Caller {
  constructor(entry, record) {
    this.entry = entry;
    this.record = record;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Sends one request; resolves to its status, or to why it had no whole answer. */
  send(id, pathname, deadlineMs, body = "x") {
    return new Promise((resolve) => {
      const done = (outcome) => {
        this.record(`caller: ${id} ${outcome}`);
        resolve(outcome);
      };
      const req = http.request(
        {
          host: "127.0.0.1",
          port: this.entry.front,
          agent: this.agent,
          method: "POST",
          path: pathname,
          headers: {
            host: HOST,
            "x-sumacfield-attempt-id": id,
            "x-sumacfield-deadline-ms": deadlineMs,
            "content-length": body.length,
          },
        },
        (res) => {
          res.on("data", () => undefined);
          res.once("end", () => done(res.statusCode));
          res.once("error", () => done("broken off"));
        },
      );
      req.setTimeout(deadlineMs + 2000, () => req.destroy(new Error("no answer in time")));
      req.once("error", (err) => done(`no answer: ${err.message}`));
      req.end(body);
      this.record(`caller: sends ${id}`);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/** A configuration with one non-idempotent route to one plain service. */
export function configuration(version, service, timeoutMs) {
  return {
    version,
    routes: [
      {
        name: "post",
        host: HOST,
        prefix: "/post/",
        kind: "non_idempotent",
        service,
        attempts: 1,
        timeoutMs,
        targetLatencyMs: 193,
        priority: 2,
      },
    ],
    services: [{ name: service, healthPath: "/healthz", maxConnections: 110 }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}
