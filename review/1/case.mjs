/**
 * Non-idempotent calls to a service of two workers. One of them is full at times; for 5 s in each cycle, it also sends a second
 * answer after some of its answers, late, where the next response is expected. The other one is emptied and taken away at the
 * beginning of these 5 s, and a new one is added after them.
 */
import * as http from "node:http";
import * as path from "node:path";
import * as url from "node:url";
import * as deployment from "../lib/deployment.mjs";
import { PlainWorker } from "../lib/plain-worker.mjs";

const SERVICE = "xano55b";
const ENTRIES = 5;
const CALLERS_PER_ENTRY = 2;
const CYCLES = 13;
/** Milliseconds of a window in which one of the two workers spoils answers. */
const WINDOW_MS = 5000;
/** Share of its answers that have a second one then. */
const EXTRA_SHARE = 0.03;
/** Milliseconds that a worker serves after it reported that it leaves. */
const DRAIN_MS = 2600;
const CALM_MS = 1500;
/** Slots are those of the sheets' plain services. */
const WORKER = { slots: 6, queue: 1, workMs: 43 };
/** The statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

const folder = path.dirname(url.fileURLToPath(import.meta.url));

await deployment.main(folder, async (record) => {
  const route = {
    name: "feed",
    host: deployment.HOST,
    prefix: "/puxa403/",
    kind: "non_idempotent",
    service: SERVICE,
    timeoutMs: 1000,
    targetLatencyMs: 193,
    priority: 2,
    attempts: 2,
  };
  const service = { name: SERVICE, healthPath: "/healthz", maxConnections: 110 };
  const site = await deployment.start({ routes: [route], services: [service], entries: ENTRIES });
  const workers = [];
  const add = async () => {
    const worker = new PlainWorker(`i-7f3a91c${workers.length}`, WORKER, record);
    workers.push(worker);
    await worker.start();
    site.register(worker.id, SERVICE, worker.address);
    return worker;
  };
  const leave = async (worker) => {
    site.register(worker.id, SERVICE, worker.address, "draining");
    await deployment.sleep(DRAIN_MS);
    site.store.remove(`servers/${worker.id}`);
    await deployment.sleep(500);
    worker.stop();
  };

  const staying = await add();
  await deployment.sleep(1500);
  const answers = new Map();
  let isOver = false;
  const call = async (agent, n) => {
    while (!isOver) {
      const id = `a${answers.size.toString(16).padStart(8, "0")}`;
      answers.set(id, undefined);
      const got = await send(agent, site.entries[n % ENTRIES].port, id);
      answers.set(id, got);
      record.add(`the caller of ${id} got ${got}`);
      await deployment.sleep(50 * Math.random());
    }
  };
  const agents = Array.from(
    { length: ENTRIES * CALLERS_PER_ENTRY },
    () => new http.Agent({ keepAlive: true, maxSockets: 1 }),
  );
  const callers = agents.map(call);
  for (let cycle = 0; cycle < CYCLES; cycle++) {
    const other = await add();
    await deployment.sleep(CALM_MS);
    record.add(`cycle ${cycle}: ${staying.id} spoils answers for 5 s; ${other.id} leaves`);
    if (deployment.hasTrouble) staying.hasExtra = () => Math.random() < EXTRA_SHARE;
    await Promise.all([leave(other), deployment.sleep(WINDOW_MS)]);
    staying.hasExtra = () => false;
  }
  isOver = true;
  await Promise.all(callers);
  await deployment.sleep(1500);

  const runs = new Map();
  for (const id of workers.flatMap((w) => w.runs)) runs.set(id, (runs.get(id) ?? 0) + 1);
  const twice = [...runs].filter(([, n]) => n > 1).map(([id]) => id);
  const refused = [...answers].filter(([id, got]) => PROMISES.has(got) && runs.has(id));
  for (const id of twice) record.add(`TWICE: ${id} ran ${runs.get(id)} times`);
  for (const [id, got] of refused) record.add(`REFUSED: ${id} got ${got} and ran`);
  const count = (f) => workers.reduce((sum, w) => sum + f(w), 0);
  record.add(
    `${answers.size} requests, ${count((w) => w.runs.length)} runs, ${count((w) => w.rejected)} rejections, ` +
      `${count((w) => w.extras)} second answers; ${twice.length} ran twice, ${refused.length} refused and ran`,
  );
  for (const a of agents) a.destroy();
  for (const w of workers) w.stop();
  await site.stop();
  return twice.length + refused.length > 0;
});

/** Sends one call; resolves with its status, or with the error's code. */
function send(agent, port, id) {
  return new Promise((resolve) => {
    const headers = {
      host: deployment.HOST,
      "x-sumacfield-attempt-id": id,
      "x-sumacfield-deadline-ms": "1000",
      "content-length": 0,
    };
    const req = http.request(
      { host: "127.0.0.1", port, path: "/puxa403/2f", method: "POST", agent, headers },
      (res) => {
        res.resume();
        res.once("end", () => resolve(res.statusCode));
        res.once("error", (err) => resolve(err.code));
      },
    );
    req.once("error", (err) => resolve(err.code));
    req.end();
  });
}
