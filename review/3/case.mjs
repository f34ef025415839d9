/* global performance */
/**
 * Callers that send one non-idempotent call after the other on kept connections, while the entry daemon is stopped with SIGTERM
 * and started again, as in a rolling restart. A caller leaves a connection when an answer says so or when it is closed.
 */
import * as http from "node:http";
import * as path from "node:path";
import * as url from "node:url";
import * as deployment from "../lib/deployment.mjs";
import { DelayProxy } from "../lib/delay-proxy.mjs";
import { PlainWorker } from "../lib/plain-worker.mjs";

const SERVICE = "xano55b";
const CALLERS = 40;
const ROUNDS = 4;
const ROUND_MS = 3000;
/** One way between callers and entry hosts, as in the sheets. */
const CALLER_MS = 3;
const DEADLINE_MS = 1500;

const folder = path.dirname(url.fileURLToPath(import.meta.url));

await deployment.main(folder, async (record) => {
  const route = {
    name: "confirm",
    host: deployment.HOST,
    prefix: "/puxa403/",
    kind: "non_idempotent",
    service: SERVICE,
    timeoutMs: DEADLINE_MS,
    targetLatencyMs: 193,
    priority: 2,
    attempts: 2,
  };
  const service = { name: SERVICE, healthPath: "/healthz", maxConnections: 100 };
  const site = await deployment.start({ routes: [route], services: [service] });
  const ids = ["i-7f3a91c0", "i-7f3a91c1", "i-7f3a91c2", "i-7f3a91c3"];
  const workers = ids.map((id) => new PlainWorker(id, { slots: 6, queue: 24, workMs: 43 }, record));
  for (const w of workers) {
    await w.start();
    site.register(w.id, SERVICE, w.address);
  }
  const [entry] = site.entries;
  const proxy = new DelayProxy(entry.port, CALLER_MS);
  await proxy.start();
  await deployment.sleep(2500);

  const calls = [];
  const caller = async (name, until) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let connection;
    for (let n = 0; performance.now() < until; n++) {
      const call = await send(agent, proxy.port, `${name}${n.toString(16).padStart(3, "0")}`);
      calls.push(call);
      record.add(
        `the caller of ${call.id} got ${call.got}${call.isLast ? ", the last answer" : ""}`,
      );
      connection ??= call.connection;
      // The balancer leads the next connection to another daemon.
      if (call.isLast || call.connection !== connection || typeof call.got === "string") break;
    }
    agent.destroy();
  };
  for (let round = 0; round < ROUNDS; round++) {
    const names = Array.from(
      { length: CALLERS },
      (_, n) => `a${round}${String(n).padStart(2, "0")}`,
    );
    const until = performance.now() + ROUND_MS;
    const callers = names.map((name) => caller(name, until));
    await deployment.sleep(ROUND_MS / 2);
    if (deployment.hasTrouble) {
      record.add("the entry daemon gets SIGTERM");
      entry.signal("SIGTERM");
    }
    await Promise.all(callers);
    if (deployment.hasTrouble) {
      record.add(`the entry daemon ended: ${await entry.ended}`);
      entry.start();
      await entry.untilReady();
    }
  }
  const ran = new Set(workers.flatMap((w) => w.runs));
  const lost = calls.filter((c) => typeof c.got === "string" && ran.has(c.id));
  for (const c of lost) record.add(`LOST: ${c.id} ran, and its connection ended without an answer`);
  record.add(`${calls.length} requests, ${lost.length} lost`);
  for (const w of workers) w.stop();
  proxy.stop();
  await site.stop();
  return lost.length > 0;
});

/** Sends one call; resolves with its status, or the code of an error, and with what it shows of its connection. */
function send(agent, port, id) {
  return new Promise((resolve) => {
    let connection;
    const done = (got, isLast) => resolve({ id, got, isLast, connection });
    const headers = {
      host: deployment.HOST,
      "x-sumacfield-attempt-id": id,
      "x-sumacfield-deadline-ms": String(DEADLINE_MS),
      "content-length": 0,
    };
    const req = http.request(
      { host: "127.0.0.1", port, path: "/puxa403/2f", method: "POST", agent, headers },
      (res) => {
        res.resume();
        res.once("end", () => done(res.statusCode, res.headers.connection === "close"));
        res.once("error", (err) => done(err.code, true));
      },
    );
    req.once("socket", (socket) => (connection = socket));
    req.once("error", (err) => done(err.code, true));
    req.end();
  });
}
