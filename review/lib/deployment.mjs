/* global performance, process, setTimeout */
/**
 * A small deployment on loopback: the project's entry daemons as processes, with the command of the deploy file, the
 * project's stand-in of the store, and workers that a case brings along.
 */
import * as child from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
/** The command of a role in deploy/system.toml, without its name. */
const COMMAND = ["--max-old-space-size=160", "target/deploy/launch.cjs"];
export const HOST = "ficu95.example";
const HOST_ADDRESS = "127.0.0.1";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** All processes and folders of this run, so that none is left whatever ends it. */
const children = new Set();
const folders = new Set();
process.once("exit", () => {
  for (const c of children) c.kill("SIGKILL");
  for (const f of folders) fs.rmSync(f, { recursive: true, force: true });
});
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.once(signal, () => process.exit(2));
process.once("uncaughtException", (err) => {
  process.stderr.write(`${err.stack ?? err}\n`);
  process.exit(2);
});

/** Starts a process, which is killed at the end of this one at the latest. */
export function spawn(command, args, opts) {
  const started = child.spawn(command, args, opts);
  children.add(started);
  started.once("exit", () => children.delete(started));
  return started;
}

/** Whether the run has its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/** A free port on loopback. */
export async function freePort() {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, HOST_ADDRESS, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The bounds of the sites wattle-bcast and lpc-amman, as their sheets state them. */
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

/** The limits of the examples that `fleetbench wire` prints. */
const LIMITS = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 4194304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15000,
};

/**
 * Starts the store, writes the configuration, and starts `entries` entry daemons. `engines` are the model workers that run
 * already, each on a loopback address of its own, with an endpoint daemon beside it; the first `registered` are in the store.
 */
export async function start({
  routes,
  services,
  entries = 1,
  engines = [],
  registered = engines.length,
}) {
  const { Store } = await import(url.pathToFileURL(`${ROOT}/target/bench/platform/store.js`).href);
  const store = new Store();
  store.era = undefined;
  await store.start(HOST_ADDRESS);
  store.put("op/config", { version: 3, routes, services, limits: LIMITS });
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "sumacfield-review-"));
  folders.add(folder);
  const seatPort = await freePort();
  const shared = { store: store.address, seatPort, folder };
  const endpointDaemons = engines.map(({ ip, address, service }, n) =>
    createDaemon("endpoint", n, ip, {}, { app: address, service }, shared),
  );
  const daemons = [];
  for (let n = 0; n < entries; n++) {
    const listen = { front: await freePort(), ready: await freePort() };
    daemons.push(createDaemon("entry", n, HOST_ADDRESS, listen, {}, shared));
  }
  const all = [...endpointDaemons, ...daemons];
  for (const d of all) d.start();
  const register = (id, service, address, state = "ready", more = {}) => {
    const entry = { service, address, zone: "zone-a", version: "v1", slots: 6, state };
    store.put(`servers/${id}`, { ...entry, coldRemainingMs: 0, sequence: 1, ...more });
  };
  for (const { id, address, service } of engines.slice(0, registered))
    register(id, service, address);
  for (const d of daemons) await d.untilReady();
  return {
    store,
    entries: daemons,
    endpoints: endpointDaemons,
    folder,
    /** Writes the entry of a worker, as it does by itself. */
    register,
    stop: async () => {
      for (const d of all) await d.kill();
      store.stop();
      fs.rmSync(folder, { recursive: true, force: true });
    },
  };
}

function createDaemon(role, n, ip, listen, more, { store, seatPort, folder }) {
  const file = path.join(folder, `${role}-${n}.yaml`);
  const settings = {
    nodeName: `${role}-zone-a-${n + 1}`,
    role,
    machineClass: role === "entry" ? "edge" : "side",
    serves: [role === "entry" ? "edge" : "side"],
    ip,
    zone: "zone-a",
    region: "region",
    zones: { "zone-a": "region" },
    listen: Object.fromEntries(Object.entries(listen).map(([k, port]) => [k, `${ip}:${port}`])),
    internalPorts: [seatPort, seatPort],
    seedNodes: [],
    bootstrap: true,
    limits: {
      cpuShare: 0.513,
      cpuCores: 1,
      memoryMb: 350,
      maxFds: 4100,
      linkMbps: 1000,
      diskMb: 0,
    },
    heartbeatMs: 1200,
    bounds: BOUNDS,
    platform: {
      address: store,
      form: "kv",
      writesPerS: 400,
      readsPerS: 2000,
      historyS: 20,
      valueBytes: 1048576,
      minTtlMs: 1000,
    },
    ...more,
  };
  // The early start looks for the line of `front`, so this is written as the platform writes it; JSON is YAML otherwise.
  const text = Object.entries(settings).map(([key, value]) =>
    key === "listen" && value.front
      ? `listen:\n  front: "${value.front}"\n  ready: "${value.ready}"`
      : `${key}: ${JSON.stringify(value)}`,
  );
  fs.writeFileSync(file, `${text.join("\n")}\n`);
  const log = fs.openSync(path.join(folder, `${role}-${n}.log`), "a");
  let running;
  let ended;
  return {
    port: listen.front,
    get pid() {
      return running?.pid;
    },
    /** Resolves with [code, signal] once the process has ended. */
    get ended() {
      return ended;
    },
    start: () => {
      const env = { PATH: process.env.PATH, HOME: process.env.HOME ?? "/" };
      running = spawn(process.execPath, [...COMMAND, role], {
        cwd: ROOT,
        env: { ...env, SUMACFIELD_CONFIG: file, SUMACFIELD_METRICS_PORT: "0" },
        stdio: ["ignore", log, log],
      });
      const started = running;
      ended = new Promise((resolve) => started.once("exit", (...how) => resolve(how)));
    },
    signal: (name) => running.kill(name),
    kill: async () => {
      if (!running) return;
      running.kill("SIGKILL");
      running.kill("SIGCONT");
      await ended;
    },
    untilReady: async () => {
      for (let tries = 0; tries < 200; tries++) {
        if (await isReady(listen.ready)) return;
        await sleep(50);
      }
      throw new Error("an entry daemon was not ready after 10 s");
    },
  };
}

function isReady(port) {
  return new Promise((resolve) => {
    const req = http.get({ host: HOST_ADDRESS, port, path: "/-/readyz", agent: false }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.once("error", () => resolve(false));
  });
}

/** Writes the lines of a run to `record.txt` in the folder of a case. */
export function openRecord(folder) {
  const file = path.join(folder, "record.txt");
  fs.writeFileSync(file, "");
  const began = performance.now();
  const lines = [];
  return {
    add: (text) => lines.push(`${((performance.now() - began) / 1000).toFixed(3)} s  ${text}`),
    flush: () => fs.writeFileSync(file, `${lines.join("\n")}\n`),
  };
}

/** Runs a case: exit code 1 if `run` finds the rule broken, 0 if it held, and 2 if the case could not run. */
export async function main(folder, run) {
  const record = openRecord(folder);
  record.add(`TROUBLE=${hasTrouble ? 1 : 0}`);
  let code = 2;
  try {
    code = (await run(record)) ? 1 : 0;
  } catch (err) {
    record.add(`the case could not run: ${err.stack ?? err}`);
  }
  record.add(["the rule held", "the rule was broken", "no result"][code]);
  record.flush();
  process.exit(code);
}
