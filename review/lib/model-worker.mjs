/* global process, setTimeout */
/**
 * A model worker by the users' page, as a process of its own: `node model-worker.mjs IP ID UNFRAMED_SHARE`. It holds one base
 * model, and streams the events of each request. A share of its answers has no length and ends with its connection. It prints
 * its address, then a line for each run; on SIGTERM it ends at once, whatever it runs, and the kernel closes its connections.
 */
import * as http from "node:http";

const [ip, id, unframedShare] = process.argv.slice(2);
const MODEL = "daka510000";
const EVENTS = 86;
const EVENT_MS = 120;

const server = http.createServer({ keepAliveTimeout: 20_000 }, (req, res) => {
  if (req.url === "/healthz") {
    res.writeHead(200, { "x-sumacfield-instance-id": id, "content-length": 0 }).end();
    return;
  }
  req.resume();
  if (req.url === "/-/report") report(res);
  else if (req.url === "/-/order") res.writeHead(200, { "content-length": 0 }).end();
  else run(req, res);
});

function report(res) {
  const models = [{ name: MODEL, version: 1, adapters: [] }];
  const counts = { queued: 0, active: 0, kvUsed: 0, kvTotal: 122543, handles: 0 };
  const text = JSON.stringify({ stage: "colocated", models, busy: false, sequence: 0, ...counts });
  res.writeHead(200, { "content-type": "application/json" }).end(text);
}

function run(req, res) {
  const attempt = req.headers["x-sumacfield-attempt-id"];
  const headers = { "x-sumacfield-attempt-id": attempt };
  if ((req.headers["x-sumacfield-expect-instance"] ?? id) !== id) {
    res.writeHead(421, { ...headers, "content-length": 0 }).end();
    return;
  }
  const isUnframed = Math.random() < Number(unframedShare);
  if (isUnframed) {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
  }
  const from = Number(req.headers["last-event-id"] ?? 0) + 1;
  process.stdout.write(
    `runs ${attempt} from event ${from}${isUnframed ? ", without a length" : ""}\n`,
  );
  res.writeHead(200, {
    ...headers,
    "content-type": "text/event-stream",
    "x-sumacfield-server-signature": `${id}.${attempt}`,
    "x-sumacfield-weight-versions": "1",
  });
  const next = (n) => {
    if (res.destroyed) return;
    if (n > EVENTS) {
      res.end();
      return;
    }
    res.write(`id: ${n}\ndata: ${attempt} ${n} of ${EVENTS}\n\n`);
    setTimeout(next, EVENT_MS, n + 1);
  };
  setTimeout(next, 20, from);
}

server.listen(0, ip, () => process.stdout.write(`address ${ip}:${server.address().port}\n`));
process.on("SIGTERM", () => process.exit(0));
